#include "turmerichead/state_delta.h"

#include "turmerichead/error.h"
#include "turmerichead/hash.h"

#include <nlohmann/json.hpp>

namespace turmerichead {

namespace {

using json = nlohmann::json;

std::string textOf(const json &Value) {
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json parseChat(std::string_view Body) {
  json Chat = json::parse(Body, nullptr, false);
  if (!Chat.is_object())
    return {};
  auto Messages = Chat.find("messages");
  return Messages != Chat.end() && Messages->is_array() ? Chat : json();
}

// A caller sends an answer's message back without the fields that were null in
// it. Both forms must have the same hash.
json withoutNulls(json Message) {
  if (!Message.is_object())
    return Message;
  for (auto Field = Message.begin(); Field != Message.end();)
    Field = Field->is_null() ? Message.erase(Field) : std::next(Field);
  return Message;
}

message_digest digestOf(const json &Message) {
  std::string Text = textOf(withoutNulls(Message));
  return {hash64(Text), static_cast<std::uint32_t>(Text.size())};
}

std::uint32_t tokensField(const json &Chat, const char *Name) {
  auto Field = Chat.find(Name);
  if (Field == Chat.end() || !Field->is_number_unsigned())
    return 0;
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(Field->get<std::uint64_t>(), UINT32_MAX));
}

json answerMessage(std::string_view Body) {
  json Answer = json::parse(Body, nullptr, false);
  if (!Answer.is_object())
    return {};
  auto Choices = Answer.find("choices");
  if (Choices == Answer.end() || !Choices->is_array() || Choices->empty())
    return {};
  const json &First = Choices->front();
  if (!First.is_object() || !First.contains("message"))
    return {};
  return First["message"];
}

} // namespace

std::optional<chat_digest> digestChat(std::string_view Body) {
  json Chat = parseChat(Body);
  if (Chat.is_null())
    return fail(error_code::InvalidInput, "not a chat completion request");
  chat_digest Out;
  for (const json &Message : Chat["messages"])
    Out.Messages.push_back(digestOf(Message));
  std::uint32_t Newer = tokensField(Chat, "max_completion_tokens");
  Out.MaxOutputTokens = Newer != 0 ? Newer : tokensField(Chat, "max_tokens");
  for (const char *Field :
       {"messages", "max_completion_tokens", "max_tokens", "stream"})
    Chat.erase(Field);
  std::string Rest = textOf(Chat);
  Out.RestHash = hash64(Rest);
  Out.RestBytes = static_cast<std::uint32_t>(Rest.size());
  return Out;
}

std::optional<message_digest> digestAnswer(std::string_view Body) {
  json Message = answerMessage(Body);
  if (Message.is_null())
    return fail(error_code::NotFound, "the answer has no message");
  return digestOf(Message);
}

std::size_t commonPrefix(std::span<const message_digest> Earlier,
                         std::span<const message_digest> Next) {
  std::size_t Count = 0;
  while (Count < Earlier.size() && Count < Next.size() &&
         Earlier[Count] == Next[Count])
    ++Count;
  return Count;
}

std::string removeLeadingMessages(std::string_view Body, std::size_t Omitted) {
  json Chat = parseChat(Body);
  if (Chat.is_null() || Omitted == 0)
    return std::string(Body);
  json &Messages = Chat["messages"];
  Omitted = std::min(Omitted, Messages.size());
  Messages.erase(Messages.begin(),
                 Messages.begin() + static_cast<long>(Omitted));
  return textOf(Chat);
}

std::optional<std::string> prependMessages(std::span<const std::string> Earlier,
                                           std::string_view Shortened) {
  json Chat = parseChat(Shortened);
  if (Chat.is_null())
    return fail(error_code::Corrupt, "not a chat completion request");
  json Messages = json::array();
  for (const std::string &Text : Earlier)
    Messages.push_back(json::parse(Text, nullptr, false));
  for (json &Message : Chat["messages"])
    Messages.push_back(std::move(Message));
  Chat["messages"] = std::move(Messages);
  return textOf(Chat);
}

std::vector<std::string> messagesOf(std::string_view Body) {
  std::vector<std::string> Out;
  json Chat = parseChat(Body);
  if (Chat.is_null())
    return Out;
  for (const json &Message : Chat["messages"])
    Out.push_back(textOf(withoutNulls(Message)));
  return Out;
}

std::string answerMessageOf(std::string_view Body) {
  json Message = answerMessage(Body);
  return Message.is_null() ? std::string() : textOf(withoutNulls(Message));
}

} // namespace turmerichead
