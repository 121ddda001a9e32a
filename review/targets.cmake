set(deployment ${PROJECT_SOURCE_DIR}/StandIns/Deployment)
set(here ${PROJECT_SOURCE_DIR}/review)

# The project's own stand-in of the platform's store, as a process.
add_executable(review-store ${here}/Store.cpp ${deployment}/StoreModel.cpp
                            ${deployment}/StoreServer.cpp)
target_link_libraries(review-store PRIVATE LibHttp LibJson LibTransport
                                           absl::strings)

# Searchers, consumers and the operator of a case.
add_executable(review-world ${here}/Main.cpp ${here}/Soak.cpp
                            ${here}/EntrySearcher.cpp ${here}/Promises.cpp
                            ${here}/Callers.cpp)
target_link_libraries(review-world PRIVATE LibHttp LibJson LibTransport)
