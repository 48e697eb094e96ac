#ifndef COMFREYSTAND_SRC_NODE_VM_CODEC_H_
#define COMFREYSTAND_SRC_NODE_VM_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "comfreystand/platform.h"

namespace comfreystand::node {

// Encodes the VM list as the JSON that nodes send to each other.
std::string EncodeVmList(const std::vector<platform::VmEntry>& vms);

// Returns false when `text` is not a list that EncodeVmList() wrote.
bool DecodeVmList(std::string_view text, std::vector<platform::VmEntry>* vms);

}  // namespace comfreystand::node

#endif  // COMFREYSTAND_SRC_NODE_VM_CODEC_H_
