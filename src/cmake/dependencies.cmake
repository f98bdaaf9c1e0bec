# Every library that the project uses, declared in one place.
find_package(PkgConfig REQUIRED)
pkg_check_modules(glib REQUIRED IMPORTED_TARGET gio-2.0 gio-unix-2.0 glib-2.0)
pkg_check_modules(soup REQUIRED IMPORTED_TARGET libsoup-3.0)
pkg_check_modules(nghttp2 REQUIRED IMPORTED_TARGET libnghttp2)
pkg_check_modules(log4cplus REQUIRED IMPORTED_TARGET log4cplus)
pkg_check_modules(gflags REQUIRED IMPORTED_TARGET gflags)
pkg_check_modules(xxhash REQUIRED IMPORTED_TARGET libxxhash)
find_library(rapidcheck_library rapidcheck REQUIRED)
