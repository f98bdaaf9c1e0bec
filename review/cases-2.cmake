# One program a case, review/N/main.cc, beside the stand-ins.
add_custom_target(review_cases)
add_dependencies(review_cases standin_store standin_upstream)
foreach(number RANGE 6 10)
  set(source ${CMAKE_SOURCE_DIR}/review/${number}/main.cc)
  if(EXISTS ${source})
    add_executable(review_case_${number} ${source})
    target_include_directories(review_case_${number} PRIVATE
                               ${CMAKE_SOURCE_DIR}/review)
    target_compile_options(review_case_${number} PRIVATE -Wall -Wextra)
    target_link_libraries(review_case_${number} PRIVATE fleet)
    set_target_properties(review_case_${number} PROPERTIES
                          RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
    add_dependencies(review_cases review_case_${number})
  endif()
endforeach()
