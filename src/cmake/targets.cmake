# Helpers that keep the CMake file of each package to a few lines.

# th_library(NAME libx SOURCES ... DEPENDS ...): a static library. Files named
# *_test.cpp beside the sources become one doctest program, libx_test.
function(th_library)
  cmake_parse_arguments(arg "" "NAME" "SOURCES;DEPENDS;TEST_DEPENDS" ${ARGN})
  add_library(${arg_NAME} STATIC ${arg_SOURCES})
  set_target_properties(${arg_NAME} PROPERTIES PREFIX "")
  target_include_directories(${arg_NAME} PUBLIC ${CMAKE_SOURCE_DIR}/src/include)
  target_compile_options(${arg_NAME} PRIVATE -Wall -Wextra -Werror)
  target_link_libraries(${arg_NAME} PUBLIC ${arg_DEPENDS})
  file(GLOB tests CONFIGURE_DEPENDS *_test.cpp)
  if(tests AND BUILD_TESTING)
    add_executable(${arg_NAME}_test ${tests}
                   ${CMAKE_SOURCE_DIR}/src/cmake/doctest_main.cpp)
    target_compile_options(${arg_NAME}_test PRIVATE -Wall -Wextra -Werror)
    target_link_libraries(${arg_NAME}_test PRIVATE ${arg_NAME}
                          ${rapidcheck_library} ${arg_TEST_DEPENDS})
    add_test(NAME ${arg_NAME}_test COMMAND ${arg_NAME}_test)
    set_tests_properties(${arg_NAME}_test PROPERTIES
                         ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 600)
  endif()
endfunction()

# th_program(NAME x SOURCES ... DEPENDS ... [INSTALL]): a program.
function(th_program)
  cmake_parse_arguments(arg "INSTALL" "NAME" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${arg_NAME} ${arg_SOURCES})
  target_include_directories(${arg_NAME} PRIVATE ${CMAKE_SOURCE_DIR}/src/include)
  target_compile_options(${arg_NAME} PRIVATE -Wall -Wextra -Werror)
  target_compile_definitions(${arg_NAME} PRIVATE
                             TURMERICHEAD_VERSION="${PROJECT_VERSION}")
  target_link_libraries(${arg_NAME} PRIVATE ${arg_DEPENDS})
  set_target_properties(${arg_NAME} PROPERTIES
                        RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
  if(arg_INSTALL)
    install(TARGETS ${arg_NAME})
  endif()
endfunction()
