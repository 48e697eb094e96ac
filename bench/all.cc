#include "bench/all.h"

namespace comfreystand::bench {

void RegisterAll() {}

}  // namespace comfreystand::bench
