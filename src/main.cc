#include "comfreystand/cli.h"

int main(int argc, char** argv) {
  return comfreystand::cli::Main(argc, argv);
}
