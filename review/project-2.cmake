# Adds the cases of the second review to the build of review/build-2.sh.
set(review_cases_file "${CMAKE_CURRENT_LIST_DIR}/cases-2.cmake")
cmake_language(DEFER CALL include "${review_cases_file}")
