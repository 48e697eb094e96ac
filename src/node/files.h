#ifndef COMFREYSTAND_SRC_NODE_FILES_H_
#define COMFREYSTAND_SRC_NODE_FILES_H_

#include <string>

namespace comfreystand::node {

// Reads the whole file into `text`. Returns false when it can't be read.
bool ReadFile(const std::string& path, std::string* text);

}  // namespace comfreystand::node

#endif  // COMFREYSTAND_SRC_NODE_FILES_H_
