/// \file
/// The text of the runner stand-in's answers.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace turmerichead::standin {

/// The text of the last message of role "user".
std::string lastQuestion(const nlohmann::json &Messages);

/// A message's content as text, also where it is a list of parts.
std::string contentOf(const nlohmann::json &Message);

/// About one token for four bytes of all messages.
std::int64_t countTokens(const nlohmann::json &Messages);

/// The words of the answer to a question, \p Count of them. The first is
/// "reply-to:" with the question's hash, the next two name program and call.
std::vector<std::string> answerTokens(const std::string &Question,
                                      const std::string &Program,
                                      const std::string &CallNumber,
                                      std::int64_t Count);

} // namespace turmerichead::standin
