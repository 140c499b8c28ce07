#ifndef POPLARROAD_VISITOR_H
#define POPLARROAD_VISITOR_H

namespace poplarroad
{

/** Combines several lambdas into one visitor for std::visit. */
template<typename... Handlers>
struct Visitor : Handlers...
{
    using Handlers::operator()...;
};

template<typename... Handlers>
Visitor(Handlers...) -> Visitor<Handlers...>;

} // namespace poplarroad

#endif
