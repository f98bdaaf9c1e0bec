/// \file
/// The objects of the platform stand-in: versions, conditional writes, paged
/// lists and a bounded history for watches. No I/O but the state file.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace turmerichead::standin {

/// One change, as a watch reports it.
struct change {
  std::uint64_t Version = 0;
  std::string Collection;
  std::string Type; ///< ADDED, MODIFIED or DELETED.
  nlohmann::json Object;
};

/// The answer to one request: HTTP status and JSON body.
struct answer {
  unsigned Status = 200;
  nlohmann::json Body;
};

/// A Kubernetes-style error body.
answer statusAnswer(unsigned Status, const std::string &Reason,
                    const std::string &Message);

/// Holds all objects. A collection is named "namespace/plural".
class platform_store {
public:
  /// Keeps at most \p Window changes for watches. With a \p StateFile every
  /// change is written there before it is answered, and what it holds is
  /// loaded at the start.
  platform_store(std::size_t Window, std::string StateFile);

  answer get(const std::string &Collection, const std::string &Name) const;

  /// A page of at most \p Limit objects (0: all) that follow \p Continue.
  answer list(const std::string &Collection, std::size_t Limit,
              const std::string &Continue) const;

  /// 409 AlreadyExists where the name is taken.
  answer create(const std::string &Collection, nlohmann::json Object);

  /// Replaces an object; 409 Conflict where the body names an old
  /// resourceVersion. With \p StatusOnly just the status is taken over.
  answer replace(const std::string &Collection, const std::string &Name,
                 const nlohmann::json &Object, bool StatusOnly);

  answer remove(const std::string &Collection, const std::string &Name);

  std::uint64_t version() const { return Version; }

  /// True where every change after \p Since is still in the history.
  bool canResume(std::uint64_t Since) const { return Since >= Forgotten; }

  /// The changes of a collection after \p Since, oldest first.
  std::vector<const change *> changesAfter(const std::string &Collection,
                                           std::uint64_t Since) const;

  /// Empties the history, so that each older watch position answers 410.
  void forgetHistory();

private:
  using collection = std::map<std::string, nlohmann::json>;

  void record(const std::string &Collection, const std::string &Type,
              const nlohmann::json &Object);
  void load();
  void save() const;

  std::size_t Window;
  std::string StateFile;
  std::uint64_t Version = 0;
  std::uint64_t Forgotten = 0;
  std::uint64_t NextUid = 1;
  std::map<std::string, collection> Collections;
  std::deque<change> History;
};

} // namespace turmerichead::standin
