# jaypick-node, the program that runs on the platform, and the libraries that it
# shares with the other programs.

# easylogging++ is distributed as a source file. It is compiled into one
# library, with warnings off.
find_package(prometheus-cpp REQUIRED COMPONENTS core)
find_file(EASYLOGGING_SOURCE easylogging++.cc REQUIRED)
configure_file(${EASYLOGGING_SOURCE} ${CMAKE_BINARY_DIR}/easylogging.cc
               COPYONLY)
add_library(jaypick_easylogging STATIC ${CMAKE_BINARY_DIR}/easylogging.cc)
target_compile_options(jaypick_easylogging PRIVATE -w)
target_compile_definitions(jaypick_easylogging PUBLIC ELPP_NO_DEFAULT_LOG_FILE
                                                      ELPP_NO_LOG_TO_FILE)

function(jaypick_node_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${ARG_SOURCES})
  list(FILTER sources EXCLUDE REGEX "/main\\.cc$")
  add_library(${name} OBJECT ${sources})
  target_include_directories(
    ${name} PUBLIC ${CMAKE_SOURCE_DIR}/include ${CMAKE_SOURCE_DIR}/src
                   ${CMAKE_SOURCE_DIR})
  target_link_libraries(${name} PUBLIC ${ARG_LINK})
endfunction()

jaypick_node_library(jaypick_log SOURCES src/daemon/log.cc
  src/daemon/log_sink.cc src/daemon/clock.cc src/daemon/event_base.cc
  LINK jaypick_easylogging nlohmann_json::nlohmann_json PkgConfig::LIBEVENT)
jaypick_node_library(jaypick_located_json SOURCES src/settings/located_json.cc
  LINK nlohmann_json::nlohmann_json)
jaypick_node_library(jaypick_http SOURCES src/http/*.cc
  LINK PkgConfig::LIBEVENT nlohmann_json::nlohmann_json)
# Scheduler and control code: makes all decisions, without I/O and without
# reading a clock.
jaypick_node_library(jaypick_schedule SOURCES src/schedule/*.cc src/control/*.cc
  LINK Boost::headers)
jaypick_node_library(jaypick_node_code SOURCES src/node/*.cc platform/*.cc
  LINK jaypick_schedule jaypick_http jaypick_log jaypick_located_json
  prometheus-cpp::core absl::strings)

add_executable(jaypick-node platform/main.cc)
target_link_libraries(jaypick-node PRIVATE jaypick_node_code jaypick_schedule
  jaypick_http jaypick_log jaypick_located_json absl::flags absl::flags_parse)
