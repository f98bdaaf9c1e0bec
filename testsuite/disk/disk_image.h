/// \file
/// A model of a disk that loses power: what each file contains, and what of it
/// a sync has made durable.
///
///     disk_image Image("/scratch/disk-0");
///     recordDisk("/scratch/disk-0",
///                [&](const disk_operation &Value) { Image.apply(Value); });
///     // ... the process under test uses its files ...
///     Image.losePower(Random);
///
/// After a power loss a file contains what its last sync covered; each later
/// write is present, missing or torn, each by itself. The same holds for names
/// that were created, renamed or removed without a sync of their folder. A new
/// file keeps its name after its own sync.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead::disk_standin {

enum class disk_operation_kind : std::uint8_t {
  Create,
  Truncate,
  Write,
  SyncFile,
  SyncFolder,
  Rename,
  Remove
};

/// One successful change of a file or folder, or a sync.
struct disk_operation {
  disk_operation_kind Kind = disk_operation_kind::Create;
  std::uint64_t Inode = 0;  ///< Of the file; not for names and folders.
  std::uint64_t Offset = 0; ///< Of a write, or the new size, in bytes.
  std::string Path;         ///< Of a name or folder.
  std::string Data;         ///< Written bytes, or the new path of a rename.
};

/// Which unsynced changes survive a power loss.
enum class power_loss : std::uint8_t {
  KeepsNone,
  TearsAll, ///< Of each write a part is kept; other changes are lost.
  KeepsSome ///< Each change by itself is kept, lost or torn.
};

/// The files below one folder. Not synchronized.
class disk_image {
public:
  explicit disk_image(std::string Folder) : Folder(std::move(Folder)) {}

  /// Takes the next operation below the folder; others are ignored.
  void apply(const disk_operation &Operation);

  /// Replaces the files of the folder by what a power loss leaves of them. No
  /// process may use them.
  void losePower(std::mt19937_64 &Random,
                 power_loss Kind = power_loss::KeepsSome);

  /// Removes all files, as a new disk has none.
  void wipe();

  /// Operations that lead from this image to the files as they are: a process
  /// may have been killed between a change and its record.
  std::vector<disk_operation> missingOperations() const;

  /// Operations that lead to this image, all of them synced, for the journal
  /// of the next process.
  std::vector<disk_operation> toOperations() const;

private:
  using file_number = std::size_t;
  struct file {
    std::string Durable;
    std::vector<disk_operation> Pending; ///< Writes and truncations.
  };
  /// A change of names that no sync has covered.
  struct name_change {
    disk_operation_kind Kind;
    std::string Path;
    std::string NewPath; ///< Of a rename.
    file_number File;
  };
  using name_map = std::map<std::string, file_number>;

  bool contains(std::string_view Path) const;
  file *fileOf(std::uint64_t Inode);
  static void applyName(const name_change &Change, name_map &Names);
  void changeName(const disk_operation &Operation, file_number File);
  void syncFile(std::uint64_t Inode);
  void syncFolder(const std::string &Path);
  void rewriteFiles(const std::map<std::string, std::string> &Contents);

  std::string Folder;
  std::vector<file> Files;
  std::map<std::uint64_t, file_number> ByInode;
  name_map Names;        ///< As processes see them.
  name_map DurableNames; ///< As they are after a power loss.
  std::vector<name_change> PendingNames;
};

/// Encodes an operation for a journal file.
std::string encodeOperation(const disk_operation &Operation);
/// Decodes the first operation of \p Bytes and removes it; nullopt if it is
/// incomplete.
std::optional<disk_operation> decodeOperation(std::string_view &Bytes);

// -- Journals of processes; see disk_recorder.h
// --------------------------------

/// Folder whose files are recorded.
inline constexpr const char *FolderVariable = "DISK_RECORDER_FOLDER";
/// File to which encoded operations are appended. While a file of this name
/// with FullSuffix exists, the disk takes no more bytes (ENOSPC).
inline constexpr const char *JournalVariable = "DISK_RECORDER_JOURNAL";
inline constexpr const char *FullSuffix = ".full";
/// Time that a sync of the disk takes, in milliseconds.
inline constexpr const char *SyncTimeVariable = "DISK_RECORDER_SYNC_MS";

/// Reads a journal into an image of \p Folder.
disk_image readJournal(const std::string &Folder, const std::string &Journal);
/// Replaces a journal by one that leads to \p Image.
void writeJournal(const disk_image &Image, const std::string &Journal);

} // namespace turmerichead::disk_standin
