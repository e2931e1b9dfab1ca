# Libraries and programs around the dispatcher (jaypick_core). A block is
# skipped while its folder has no sources.

macro(jaypick_optional_library name)
  set(options)
  cmake_parse_arguments(ARG "" "" "FOLDERS;LINK" ${ARGN})
  jaypick_library(${name} ${ARG_FOLDERS})
  get_target_property(kind ${name} TYPE)
  if(kind STREQUAL "INTERFACE_LIBRARY")
    target_link_libraries(${name} INTERFACE ${ARG_LINK})
  else()
    target_link_libraries(${name} PUBLIC ${ARG_LINK})
  endif()
endmacro()

find_library(CSV_LIBRARY csv REQUIRED)
pkg_check_modules(ICU REQUIRED IMPORTED_TARGET icu-uc icu-i18n)

jaypick_optional_library(jaypick_configuration FOLDERS configuration LINK
  jaypick_core nlohmann_json::nlohmann_json ${CSV_LIBRARY} PkgConfig::ICU)
# In sanitizer builds, GCC 12 falsely reports members of std::regex, which
# valijson uses, as maybe uninitialised (GCC bug 105562). clang-tidy runs with
# the same options and does not know this warning, hence
# -Wno-unknown-warning-option.
set_source_files_properties(src/settings/schema.cc PROPERTIES
  COMPILE_OPTIONS "-Wno-unknown-warning-option;-Wno-maybe-uninitialized")
jaypick_optional_library(jaypick_settings FOLDERS settings LINK
  jaypick_core jaypick_located_json)
jaypick_optional_library(jaypick_platform_services FOLDERS platform_services LINK
  jaypick_http jaypick_configuration absl::strings)
jaypick_optional_library(jaypick_daemon FOLDERS daemon LINK
  jaypick_platform_services jaypick_settings jaypick_log prometheus-cpp::core
  PkgConfig::OPENSSL absl::flags absl::flags_parse)
jaypick_optional_library(jaypick_cli FOLDERS cli LINK
  jaypick_http jaypick_configuration absl::flags absl::flags_reflection)
target_compile_definitions(jaypick_cli PRIVATE
                           JAYPICK_VERSION="${PROJECT_VERSION}")

# The objects of an object library are not linked transitively, so each program
# lists all the object libraries that it uses.
set(JAYPICK_CORE_OBJECTS jaypick_core)
set(JAYPICK_ALL jaypick_core jaypick_configuration jaypick_settings
                jaypick_located_json jaypick_http jaypick_platform_services
                jaypick_log jaypick_daemon)

if(EXISTS ${CMAKE_SOURCE_DIR}/src/daemon/main.cc)
  add_executable(jaypickd src/daemon/main.cc)
  target_link_libraries(jaypickd PRIVATE ${JAYPICK_ALL})
endif()
if(EXISTS ${CMAKE_SOURCE_DIR}/src/cli/main.cc)
  add_executable(jaypick src/cli/main.cc)
  target_link_libraries(jaypick PRIVATE jaypick_cli jaypick_http
                        jaypick_configuration jaypick_located_json jaypick_core)
endif()

# Stand-ins for the platform's services, upstreams and callers: one program per
# standins/<name>_main.cc. The other sources are an object library that the
# programs share.
file(GLOB STANDIN_SOURCES CONFIGURE_DEPENDS standins/*.cc)
list(FILTER STANDIN_SOURCES EXCLUDE REGEX "/platform_[a-z]+\\.cc$")
file(GLOB STANDIN_MAINS CONFIGURE_DEPENDS standins/*_main.cc)
if(STANDIN_SOURCES)
  set(code ${STANDIN_SOURCES})
  list(REMOVE_ITEM code ${STANDIN_MAINS})
  add_library(jaypick_standins OBJECT ${code})
  target_include_directories(jaypick_standins PUBLIC ${CMAKE_SOURCE_DIR})
  target_link_libraries(jaypick_standins PUBLIC jaypick_http absl::strings
                        absl::flags absl::flags_parse)
  foreach(main IN LISTS STANDIN_MAINS)
    get_filename_component(name ${main} NAME_WE)
    string(REGEX REPLACE "_main$" "" name ${name})
    add_executable(jaypick-standin-${name} ${main})
    target_link_libraries(jaypick-standin-${name} PRIVATE jaypick_standins
                          jaypick_http jaypick_located_json jaypick_core)
  endforeach()
endif()

# Stand-in for the platform that the node runs on. It has no program of its own:
# the tests run it in their event loop.
file(GLOB PLATFORM_STANDIN_SOURCES CONFIGURE_DEPENDS standins/platform_*.cc)
add_library(jaypick_platform_standin OBJECT ${PLATFORM_STANDIN_SOURCES})
target_link_libraries(jaypick_platform_standin PUBLIC jaypick_node_code)

# Benchmark program.
file(GLOB BENCH_SOURCES CONFIGURE_DEPENDS bench/*.cc)
list(FILTER BENCH_SOURCES EXCLUDE REGEX "/main\\.cc$")
if(BENCH_SOURCES)
  add_library(jaypick_bench_code OBJECT ${BENCH_SOURCES})
  target_include_directories(jaypick_bench_code PUBLIC ${CMAKE_SOURCE_DIR})
  target_link_libraries(jaypick_bench_code PUBLIC jaypick_core jaypick_http
                        nlohmann_json::nlohmann_json absl::flags
                        absl::flags_parse)
  add_executable(jaypick-bench bench/main.cc)
  target_link_libraries(jaypick-bench PRIVATE jaypick_bench_code jaypick_http
                        jaypick_located_json jaypick_core)
endif()

# Examples: one program per file.
file(GLOB EXAMPLE_SOURCES CONFIGURE_DEPENDS examples/*.cc)
foreach(example IN LISTS EXAMPLE_SOURCES)
  get_filename_component(name ${example} NAME_WE)
  add_executable(example_${name} ${example})
  target_link_libraries(example_${name} PRIVATE jaypick_core)
endforeach()

# Randomised simulation, used by the tests and by the program jaypick-soak.
file(GLOB SIMULATION_SOURCES CONFIGURE_DEPENDS tests/simulation/*.cc)
list(FILTER SIMULATION_SOURCES EXCLUDE REGEX "/soak_main\\.cc$")
add_library(jaypick_simulation OBJECT ${SIMULATION_SOURCES})
target_include_directories(jaypick_simulation PUBLIC ${CMAKE_SOURCE_DIR})
target_link_libraries(jaypick_simulation PUBLIC jaypick_core)
add_executable(jaypick-soak tests/simulation/soak_main.cc)
target_link_libraries(jaypick-soak PRIVATE jaypick_simulation jaypick_core
                      absl::flags absl::flags_parse)

# Tests: tests/<feature>_test.cc, linked into one test runner.
file(GLOB TEST_SOURCES CONFIGURE_DEPENDS tests/*.cc tests/soak/*.cc)
if(TEST_SOURCES)
  add_executable(jaypick_tests ${TEST_SOURCES})
  target_include_directories(jaypick_tests PRIVATE ${CMAKE_SOURCE_DIR})
  target_link_libraries(jaypick_tests PRIVATE jaypick_schedule
                        jaypick_node_code jaypick_platform_standin)
  target_link_libraries(jaypick_tests PRIVATE PkgConfig::CRITERION ${JAYPICK_ALL}
                        jaypick_cli
                        jaypick_simulation
                        $<TARGET_NAME_IF_EXISTS:jaypick_standins>
                        $<TARGET_NAME_IF_EXISTS:jaypick_bench_code>)
  if(JAYPICK_SANITIZE)
    target_compile_definitions(jaypick_tests PRIVATE JAYPICK_SANITIZED)
  endif()
endif()
