@0xd3f1a92c7b5e4810;

# Interface of the daemon for operators and their tools.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("poplarroad::rpc");

enum Urgency {
    low @0;
    normal @1;
    high @2;
    critical @3;
}

enum Occupancy {
    slot @0;
    connection @1;
}

enum TargetState {
    active @0;
    draining @1;
}

struct Zone {
    name @0 :Text;
}

# The network between two zones; it has no direction.
struct Link {
    from @0 :Text;            # zone name
    to @1 :Text;              # zone name
    delayMicroseconds @2 :UInt64;  # one way
    cost @3 :Float64;
}

struct Contract {
    kind @0 :Text;
    urgency @1 :Urgency;
    weight @2 :UInt32;
    idempotent @3 :Bool;
    deadlineMilliseconds @4 :UInt32;
    minimumShare @5 :Float64;  # 0 to 1
    callerLimit @6 :UInt32;
    occupancy @7 :Occupancy;
}

struct Service {
    name @0 :Text;
    contracts @1 :List(Contract);
}

struct Target {
    name @0 :Text;
    service @1 :Text;
    zone @2 :Text;
    address @3 :Text;          # "a.b.c.d:port"
    slots @4 :UInt16;
    connections @5 :UInt32;
    state @6 :TargetState;
}

# One edit of one object. Objects are named by their names.
struct Edit {
    union {
        putZone @0 :Zone;
        removeZone @1 :Text;
        putLink @2 :Link;
        putService @3 :Service;
        removeService @4 :Text;
        putTarget @5 :Target;
        drainTarget @6 :Text;
        activateTarget @7 :Text;
        removeTarget @8 :Text;
    }
}

# A file of edits for `poplarctl apply`.
struct EditList {
    edits @0 :List(Edit);
}

struct Change {
    basedOn @0 :UInt64;        # revision that the operator has read
    changeId @1 :Text;         # chosen by the operator; a repeated call carries the same one
    edit @2 :Edit;
}

enum ChangeResult {
    accepted @0;               # the write is certain
    refused @1;                # the edit is invalid
    conflict @2;               # the object was changed after basedOn
    unknown @3;                # repeat the call with the same change id
    unreachable @4;            # certainly not written
}

struct ChangeOutcome {
    result @0 :ChangeResult;
    revision @1 :UInt64;       # accepted: of the change; conflict: the newer one of the object
    detail @2 :Text;
}

struct Configuration {
    revision @0 :UInt64;
    zones @1 :List(Zone);
    links @2 :List(Link);
    services @3 :List(Service);
    targets @4 :List(Target);
}

struct PoolStatus {
    service @0 :Text;
    zone @1 :Text;
    flows @2 :UInt64;
    queued @3 :UInt64;
    inProgress @4 :UInt64;
    feeds @5 :UInt64;
    answered @6 :UInt64;
    notRun @7 :UInt64;
    unknown @8 :UInt64;
    duplicates @9 :UInt64;
    saturation @10 :Float64;
    shedBelow @11 :Urgency;
}

# One balancer, as it sees itself, or as another one sees it when it does not answer.
struct BalancerStatus {
    address @0 :Text;
    zone @1 :Text;
    state @2 :Text;            # alive, suspected, leaving, dead
    answered @3 :Bool;         # whether the balancer answered; the fields below are empty otherwise
    incarnation @4 :UInt64;
    revision @5 :UInt64;       # configuration in force there
    platformReachable @6 :Bool;
    pending @7 :UInt64;
    pools @8 :List(PoolStatus);
}

struct ZoneStatus {
    zone @0 :Text;
    reachable @1 :Bool;
    liveHosts @2 :UInt32;
    revision @3 :UInt64;       # lowest configuration revision in force in the zone, as far as known
    balancers @4 :List(BalancerStatus);
}

struct Explanation {
    known @0 :Bool;
    target @1 :Text;
    balancer @2 :Text;         # the dispatcher that was asked
    reasons @3 :List(Text);    # latest last
}

# How far a question travels.
enum Scope {
    balancer @0;               # the asked balancer only
    zone @1;                   # all balancers of its zone
    fleet @2;                  # all zones, each through one of its gateways
}

interface Operator {
    apply @0 (change :Change) -> (outcome :ChangeOutcome);
    configuration @1 () -> (configuration :Configuration);
    # This balancer.
    balancerStatus @2 () -> (status :BalancerStatus);
    # All balancers of this balancer's zone; those that do not answer in time are listed as the membership sees them.
    zoneStatus @3 () -> (status :ZoneStatus);
    # All zones, each through one of its gateways.
    fleetStatus @4 () -> (zones :List(ZoneStatus));
    # Which target has a flow, and why.
    explainFlow @5 (flow :UInt64, scope :Scope) -> (explanation :Explanation);
    # Why a target gets work or none.
    explainTarget @6 (target :Text, scope :Scope) -> (explanation :Explanation);
    # To which zones this balancer sends new flows of a service, and why.
    explainService @7 (service :Text) -> (explanation :Explanation);
}
