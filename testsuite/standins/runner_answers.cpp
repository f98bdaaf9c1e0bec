#include "runner_answers.h"

#include "turmerichead/hash.h"

namespace turmerichead::standin {

std::string contentOf(const nlohmann::json &Message) {
  if (!Message.is_object())
    return {};
  const auto Content = Message.find("content");
  if (Content == Message.end())
    return {};
  if (Content->is_string())
    return Content->get<std::string>();
  std::string Text;
  if (Content->is_array())
    for (const auto &Part : *Content)
      Text += Part.is_object() ? Part.value("text", std::string()) : "";
  return Text;
}

std::string lastQuestion(const nlohmann::json &Messages) {
  if (!Messages.is_array())
    return {};
  for (auto Next = Messages.rbegin(); Next != Messages.rend(); ++Next)
    if (Next->is_object() && Next->value("role", std::string()) == "user")
      return contentOf(*Next);
  return {};
}

std::int64_t countTokens(const nlohmann::json &Messages) {
  constexpr std::size_t BytesPerToken = 4;
  std::size_t Bytes = 0;
  if (Messages.is_array())
    for (const auto &Message : Messages)
      Bytes += contentOf(Message).size() + BytesPerToken;
  return static_cast<std::int64_t>(Bytes / BytesPerToken + 1);
}

std::vector<std::string> answerTokens(const std::string &Question,
                                      const std::string &Program,
                                      const std::string &CallNumber,
                                      std::int64_t Count) {
  const std::uint64_t Hash = hash64(Question);
  std::vector<std::string> Tokens = {"reply-to:" + toHex(Hash) + " ",
                                     "program:" + Program + " ",
                                     "call:" + CallNumber + " "};
  for (std::int64_t I = 3; I < Count; ++I)
    Tokens.push_back(
        "w" + std::to_string(I) + "-" +
        toHex(hash64(Question, static_cast<std::uint64_t>(I))).substr(0, 4) +
        " ");
  if (static_cast<std::int64_t>(Tokens.size()) > Count)
    Tokens.resize(static_cast<std::size_t>(Count));
  return Tokens;
}

} // namespace turmerichead::standin
