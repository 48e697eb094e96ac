#ifndef COMFREYSTAND_SRC_CLI_EXPLAIN_H_
#define COMFREYSTAND_SRC_CLI_EXPLAIN_H_

#include <istream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace comfreystand::cli {

// One line of a log that was written as JSON.
struct LogLine {
  // Where it was read from; tells nodes apart.
  std::string source;
  std::string time;
  std::string event;
  nlohmann::json fields;
};

// What the logs of one or several nodes say about one request.
struct Story {
  // Lines of the request itself, in time order.
  std::vector<LogLine> request;
  // Lines about the backend servers that it was sent to.
  std::vector<LogLine> backends;
  // What else the node believed or lost around that time.
  std::vector<LogLine> state;
  // Lines that were left out of the logs around that time.
  std::vector<LogLine> left_out;
  // Plain sentences on why the request ended as it did.
  std::vector<std::string> findings;
};

// Reads the JSON lines of one log; other lines are skipped. What stands before
// the first brace of a line, a time and a machine's name for example, becomes
// part of the source.
void ReadLogLines(std::istream& in,
                  const std::string& source,
                  std::vector<LogLine>* lines);

// Gathers the story of a request.
Story Explain(const std::vector<LogLine>& lines, const std::string& request_id);

// The story as text, or as one JSON document.
std::string FormatStory(const Story& story, const std::string& request_id);
nlohmann::json StoryToJson(const Story& story, const std::string& request_id);

}  // namespace comfreystand::cli

#endif  // COMFREYSTAND_SRC_CLI_EXPLAIN_H_
