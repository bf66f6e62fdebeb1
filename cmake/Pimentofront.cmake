# Build settings shared by all packages, and the functions that declare and
# install packages.
include(GNUInstallDirs)
include(CMakePackageConfigHelpers)
find_package(PkgConfig REQUIRED)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
set(CMAKE_POSITION_INDEPENDENT_CODE ON)
add_compile_options(-Wall -Wextra -Wno-missing-field-initializers -Wno-cast-function-type -Wno-maybe-uninitialized)
# assert() stays enabled in the default build type, since the public API checks
# its preconditions with it.
string(REPLACE "-DNDEBUG" "" CMAKE_CXX_FLAGS_RELWITHDEBINFO "${CMAKE_CXX_FLAGS_RELWITHDEBINFO}")

# pimentofront_package(<name> SOURCES ... LINK ...): declares the library target
# pimentofront::<name>, whose public headers are in ./pimentofront.
function(pimentofront_package name)
  cmake_parse_arguments(arg "" "" "SOURCES;LINK" ${ARGN})
  add_library(pimentofront_${name} STATIC ${arg_SOURCES})
  add_library(pimentofront::${name} ALIAS pimentofront_${name})
  set_target_properties(pimentofront_${name} PROPERTIES EXPORT_NAME ${name})
  target_include_directories(pimentofront_${name} PUBLIC
    $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}>
    $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
  target_link_libraries(pimentofront_${name} PUBLIC ${arg_LINK})
endfunction()

# pimentofront_export(<name>): installs and exports a package for use by other
# projects.
function(pimentofront_export name)
  install(TARGETS pimentofront_${name} EXPORT pimentofrontTargets
    ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
  install(DIRECTORY pimentofront DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}
    FILES_MATCHING PATTERN "*.h")
endfunction()

function(pimentofront_install_package)
  install(EXPORT pimentofrontTargets NAMESPACE pimentofront::
    DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/pimentofront)
  configure_package_config_file(${PROJECT_SOURCE_DIR}/cmake/pimentofrontConfig.cmake.in
    ${PROJECT_BINARY_DIR}/pimentofrontConfig.cmake
    INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/pimentofront)
  install(FILES ${PROJECT_BINARY_DIR}/pimentofrontConfig.cmake
    DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/pimentofront)
endfunction()
