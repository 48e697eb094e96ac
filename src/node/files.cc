#include "src/node/files.h"

#include <fstream>
#include <sstream>

namespace comfreystand::node {

bool ReadFile(const std::string& path, std::string* text) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream content;
  content << file.rdbuf();
  *text = content.str();
  return file.good();
}

}  // namespace comfreystand::node
