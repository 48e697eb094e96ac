#include <iostream>
#include <string>
#include <vector>

#include "comfreystand/cli.h"
#include "src/cli/verbs.h"

namespace comfreystand::cli {

int Main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return static_cast<int>(
      RunCommand(AllVerbs(), arguments, std::cout, std::cerr));
}

}  // namespace comfreystand::cli
