# Declares the library of one folder: every .cpp file in it, with the headers
# reached as <LibName/File.h> from the Libraries folder. Further arguments are
# the libraries that it links.
function(verbenachute_library name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  if(sources)
    add_library(${name} STATIC ${sources})
    target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/Libraries)
    target_link_libraries(${name} PUBLIC ${ARGN})
  else()
    add_library(${name} INTERFACE)
    target_include_directories(${name}
                               INTERFACE ${PROJECT_SOURCE_DIR}/Libraries)
    target_link_libraries(${name} INTERFACE ${ARGN})
  endif()
endfunction()

# Declares the program of one folder in the same way.
function(verbenachute_program name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE ${ARGN})
endfunction()

# Declares one test program of a folder, run by ctest under the same name.
function(verbenachute_test name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  if(NOT sources)
    return()
  endif()
  add_executable(Test${name} ${sources})
  target_link_libraries(Test${name} PRIVATE ${ARGN} TestMain)
  add_test(NAME ${name} COMMAND Test${name})
endfunction()
