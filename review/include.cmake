# Adds the stand-ins of the review to a build of the project, at its end.
cmake_language(DEFER DIRECTORY ${CMAKE_SOURCE_DIR} CALL include
               ${CMAKE_SOURCE_DIR}/review/targets.cmake)
