# Finds the installed decisions library: parsleyloft::parsleyloft_decisions.
include(CMakeFindDependencyMacro)
find_dependency(tl-expected)
include(${CMAKE_CURRENT_LIST_DIR}/parsleyloft_targets.cmake)
