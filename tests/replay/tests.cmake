# Replays of request traces through the product's decision code.
file(GLOB REPLAY_SOURCES CONFIGURE_DEPENDS replay/*.c)
add_executable(replay ${REPLAY_SOURCES})
target_link_libraries(replay PRIVATE shed)

# add_replay (NAME DEPLOYMENT CONFIGURATION OUTCOMES): replay the trace that
# seed 1 generates for DEPLOYMENT and check it against OUTCOMES.
function(add_replay name deployment configuration outcomes)
  add_test(NAME replay_${name}
    COMMAND replay run ${deployment} 1
      examples/${configuration}/configuration.json
      tests/replay/${outcomes}.outcomes
    WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
  set_tests_properties(replay_${name} PROPERTIES TIMEOUT 900)
endfunction()
foreach(deployment kandy thessaly)
  add_replay(${deployment} ${deployment} ${deployment} ${deployment})
  add_replay(${deployment}_heavy ${deployment}-heavy ${deployment}
    ${deployment})
  add_replay(${deployment}_short_work ${deployment} ${deployment}
    ${deployment}-short-work)
endforeach()

# Benchmark of the cost of one decision.
add_executable(bench_decisions bench/bench_decisions.c bench/fit.c)
target_link_libraries(bench_decisions PRIVATE shed)
add_test(NAME replay_one_slot
  COMMAND replay run kandy tests/replay/one-slot.jsonl
    examples/kandy/configuration.json tests/replay/one-slot.outcomes
  WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
