# Adds one test program for one feature.
#
# poplarroad_add_test(routing_tests) builds routing_tests.cpp with the Catch2 main and registers it with CTest.
# Further arguments are sources that only this test uses.
function(poplarroad_add_test name)
    add_executable(${name} ${name}.cpp ${ARGN})
    target_link_libraries(${name} PRIVATE poplarroad poplarroad_catch rapidcheck)
    target_precompile_headers(${name} REUSE_FROM poplarroad_catch)
    add_test(NAME ${name} COMMAND ${name})
    # A fixed seed gives the same verdict every time; a longer search sets RC_PARAMS itself.
    set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=1")
endfunction()
