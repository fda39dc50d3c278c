# One function per kind of target, so that every folder's CMakeLists stays a list of names.

find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(cpprestsdk REQUIRED)
find_package(Protobuf REQUIRED)
if(NOT VG_PRODUCT_ONLY)
  find_package(GTest REQUIRED)
endif()

add_library(vg_flags INTERFACE)
target_compile_options(vg_flags INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Wold-style-cast
                                          -Woverloaded-virtual -Werror)
# GCC 12 takes `"text" + std::string` for an overlapping copy, and the frame of an inlined coroutine of Boost.Asio
# for memory of another allocator, once it optimises.
target_compile_options(vg_flags INTERFACE "$<$<CXX_COMPILER_ID:GNU>:-Wno-restrict;-Wno-mismatched-new-delete>")
target_include_directories(vg_flags INTERFACE ${PROJECT_SOURCE_DIR}/src)
target_link_libraries(vg_flags INTERFACE Threads::Threads)
if(VG_SANITIZE)
  # GCC 12 sees uninitialised values in its own library headers once they are instrumented.
  target_compile_options(vg_flags INTERFACE -fsanitize=${VG_SANITIZE} -fno-omit-frame-pointer -Wno-maybe-uninitialized)
  if(NOT VG_SANITIZE STREQUAL "thread")
    # cpprestsdk's headers cast between instantiations of its stream buffers, which the vptr check refuses.
    target_compile_options(vg_flags INTERFACE -fno-sanitize=vptr -fno-sanitize-recover=undefined)
  endif()
  if(VG_SANITIZE STREQUAL "thread")
    # Its atomic fences are not understood by ThreadSanitizer; one thread runs each loop, so none is needed.
    target_compile_definitions(vg_flags INTERFACE BOOST_ASIO_DISABLE_FENCED_BLOCK)
  endif()
  target_link_options(vg_flags INTERFACE -fsanitize=${VG_SANITIZE})
endif()

# vg_library(NAME DEPENDENCIES...): every source of the folder, with the strict warnings.
function(vg_library name)
  file(GLOB sources CONFIGURE_DEPENDS *.cpp internal/*.cpp)
  add_library(vg_${name} STATIC ${sources})
  target_link_libraries(vg_${name} PUBLIC vg_flags ${ARGN})
endfunction()

# vg_program(NAME DEPENDENCIES...): every source of the folder, linked to one binary.
function(vg_program name)
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE vg_flags ${ARGN})
endfunction()

# vg_test(NAME DEPENDENCIES...): every source of the folder as one GoogleTest program.
function(vg_test name)
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  add_executable(${name}_tests ${sources})
  target_link_libraries(${name}_tests PRIVATE vg_flags GTest::gtest GTest::gmock GTest::gtest_main ${ARGN})
  add_test(NAME ${name} COMMAND ${name}_tests)
endfunction()

# vg_separate_test(NAME OF FILTER): takes tests out of the entry OF into one of their own, which KNOWN-RED.txt can list.
function(vg_separate_test name of filter)
  set_property(GLOBAL APPEND PROPERTY vg_separated_${of} ${filter})
  get_property(separated GLOBAL PROPERTY vg_separated_${of})
  list(JOIN separated ":" filters)
  get_property(environment TEST ${of} PROPERTY ENVIRONMENT)
  list(FILTER environment EXCLUDE REGEX "^GTEST_FILTER=")
  set_property(TEST ${of} PROPERTY ENVIRONMENT ${environment} "GTEST_FILTER=-${filters}")
  add_test(NAME ${name} COMMAND ${of}_tests --gtest_filter=${filter})
endfunction()

# vg_server(NAME): a program that is stopped and reloaded by signals, also while it starts.
function(vg_server name)
  if(NOT VG_SANITIZE)
    target_link_libraries(${name} PRIVATE vg_early_signals)
  endif()
endfunction()
