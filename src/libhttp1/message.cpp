#include "turmerichead/http1_message.h"

#include "grammar_pvt.h"

#include <algorithm>
#include <array>
#include <glib.h>
#include <http_parser.h>

namespace turmerichead::http1 {

namespace {

std::string lower(std::string_view Text) {
  std::string Result(Text);
  for (char &Letter : Result)
    Letter = g_ascii_tolower(Letter);
  return Result;
}

template <typename Visitor>
void forEachToken(std::string_view List, Visitor Visit) {
  while (!List.empty()) {
    std::size_t Comma = List.find(',');
    Visit(pvt::trimmed(List.substr(0, Comma)));
    if (Comma == std::string_view::npos)
      return;
    List.remove_prefix(Comma + 1);
  }
}

} // namespace

bool equalNames(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         g_ascii_strncasecmp(Left.data(), Right.data(), Left.size()) == 0;
}

bool hasToken(std::string_view List, std::string_view Token) {
  bool Found = false;
  forEachToken(List, [&](std::string_view Word) {
    Found = Found || equalNames(Word, Token);
  });
  return Found;
}

void header_list::add(std::string_view Name, std::string_view Value) {
  Rows.push_back({std::string(Name), std::string(Value)});
}

void header_list::set(std::string_view Name, std::string_view Value) {
  remove(Name);
  add(Name, Value);
}

void header_list::remove(std::string_view Name) {
  std::erase_if(Rows,
                [&](const header &Row) { return equalNames(Row.Name, Name); });
}

const std::string *header_list::find(std::string_view Name) const {
  auto Row = std::find_if(Rows.begin(), Rows.end(), [&](const header &Row) {
    return equalNames(Row.Name, Name);
  });
  return Row == Rows.end() ? nullptr : &Row->Value;
}

std::string_view header_list::get(std::string_view Name) const {
  const std::string *Value = find(Name);
  return Value ? std::string_view(*Value) : std::string_view();
}

std::size_t header_list::count(std::string_view Name) const {
  return static_cast<std::size_t>(
      std::count_if(Rows.begin(), Rows.end(), [&](const header &Row) {
        return equalNames(Row.Name, Name);
      }));
}

std::size_t header_list::heldBytes() const {
  std::size_t Bytes = Rows.capacity() * sizeof(header);
  for (const header &Row : Rows)
    Bytes += Row.Name.size() + Row.Value.size();
  return Bytes;
}

void removeHopByHop(header_list &Headers) {
  static constexpr std::array<std::string_view, 11> Names = {
      "Connection",
      "Keep-Alive",
      "Transfer-Encoding",
      "Content-Length",
      "TE",
      "Trailer",
      "Upgrade",
      "Expect",
      "Proxy-Authenticate",
      "Proxy-Authorization",
      "Proxy-Connection",
  };
  std::vector<std::string> Named;
  for (const header &Row : Headers.rows())
    if (equalNames(Row.Name, "Connection"))
      forEachToken(Row.Value, [&](std::string_view Word) {
        Named.push_back(lower(Word));
      });
  // One pass for all names: thousands of names and of fields fit into one head.
  std::sort(Named.begin(), Named.end());
  if (!Named.empty())
    std::erase_if(Headers.rows(), [&](const header &Row) {
      return std::binary_search(Named.begin(), Named.end(), lower(Row.Name));
    });
  for (std::string_view Name : Names)
    Headers.remove(Name);
}

namespace {

struct fault_row {
  std::string_view Name;
  std::string_view Text;
};

const fault_row &rowOf(message_fault Fault) {
  static constexpr std::array<fault_row, 12> Rows = {{
      {"none", "nothing is wrong"},
      {"start_line", "the first line is invalid"},
      {"field", "a field line is invalid"},
      {"line_end", "a line does not end with CR LF"},
      {"length", "Content-Length is invalid"},
      {"coding", "Transfer-Encoding is invalid"},
      {"chunk_line", "the first line of a chunk is invalid"},
      {"chunk_end", "a chunk does not end with CR LF"},
      {"trailer", "a trailer is invalid"},
      {"head_too_large", "the headers are over the limit"},
      {"cut", "the connection ended before the answer was complete"},
      {"undelivered", "the connection ended before the request was received"},
  }};
  return Rows.at(static_cast<std::size_t>(Fault));
}

} // namespace

std::string_view nameOf(message_fault Fault) { return rowOf(Fault).Name; }

std::string_view textOf(message_fault Fault) { return rowOf(Fault).Text; }

std::string_view reasonOf(int Status) {
  constexpr int FirstStatus = 100;
  constexpr int LastStatus = 599;
  if (Status < FirstStatus || Status > LastStatus)
    return "Status";
  std::string_view Text = http_status_str(static_cast<http_status>(Status));
  return Text.empty() || Text.front() == '<' ? "Status" : Text;
}

} // namespace turmerichead::http1
