#ifndef COMFREYSTAND_SRC_CLI_EXPLAIN_H_
#define COMFREYSTAND_SRC_CLI_EXPLAIN_H_

#include <istream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace comfreystand::cli {

// One JSON line of a log.
struct LogLine {
  // File or machine that the line comes from; distinguishes the nodes.
  std::string source;
  std::string time;
  std::string event;
  nlohmann::json fields;
};

// What the logs of one or several nodes contain about one request.
struct Explanation {
  // Lines of the request itself, in time order.
  std::vector<LogLine> request_lines;
  // Lines about the backend servers that it was sent to.
  std::vector<LogLine> backend_lines;
  // Other state changes of its node around that time.
  std::vector<LogLine> state_lines;
  // Lines that report how many log lines were dropped around that time.
  std::vector<LogLine> dropped_line_reports;
  // Sentences that say why the request ended as it did.
  std::vector<std::string> findings;
};

// Reads the JSON lines of one log and skips other lines. If a log collector has
// put a prefix before the JSON object, its last word, the name of the machine,
// replaces `source`.
void ReadLogLines(std::istream& in,
                  const std::string& source,
                  std::vector<LogLine>* lines);

// Collects the lines that concern a request and derives the findings.
Explanation Explain(const std::vector<LogLine>& lines,
                    const std::string& request_id);

// Formats an explanation as text, or as one JSON document.
std::string FormatExplanation(const Explanation& explanation,
                              const std::string& request_id);
nlohmann::json ExplanationToJson(const Explanation& explanation,
                                 const std::string& request_id);

}  // namespace comfreystand::cli

#endif  // COMFREYSTAND_SRC_CLI_EXPLAIN_H_
