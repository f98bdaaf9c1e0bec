#include "disk_image.h"

#include <algorithm>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sys/stat.h>

namespace turmerichead::disk_standin {

namespace {

std::string folderOf(std::string_view Path) {
  return std::string(Path.substr(0, Path.rfind('/')));
}

std::uint64_t below(std::mt19937_64 &Random, std::uint64_t Bound) {
  return Bound == 0 ? 0 : Random() % Bound;
}

void applyWrite(std::string &Bytes, std::uint64_t Offset,
                std::string_view Data) {
  if (Bytes.size() < Offset + Data.size())
    Bytes.resize(Offset + Data.size());
  Bytes.replace(Offset, Data.size(), Data);
}

void applyChange(std::string &Bytes, const disk_operation &Change) {
  if (Change.Kind == disk_operation_kind::Truncate)
    Bytes.resize(Change.Offset);
  else
    applyWrite(Bytes, Change.Offset, Change.Data);
}

/// Applies a part of an unsynced write.
void tearWrite(std::string &Bytes, const disk_operation &Change,
               std::mt19937_64 &Random) {
  if (Change.Kind != disk_operation_kind::Write || Change.Data.size() < 2)
    return;
  std::uint64_t Size = 1 + below(Random, Change.Data.size() - 1);
  applyWrite(Bytes, Change.Offset, Change.Data.substr(0, Size));
}

/// Applies what a power loss leaves of an unsynced write or truncation.
void applyInPart(std::string &Bytes, const disk_operation &Change,
                 std::mt19937_64 &Random) {
  enum { Present, Missing, Zeros, Beginning, End, Count };
  std::string_view Data = Change.Data;
  bool IsWrite = Change.Kind == disk_operation_kind::Write;
  std::uint64_t Cut = below(Random, Data.size());
  switch (below(Random, IsWrite ? Count : Missing + 1)) {
  case Present:
    applyChange(Bytes, Change);
    return;
  case Zeros: // The file has grown, but the data was not written.
    applyWrite(Bytes, Change.Offset, std::string(Data.size(), '\0'));
    return;
  case Beginning:
    applyWrite(Bytes, Change.Offset, Data.substr(0, Cut));
    return;
  case End:
    applyWrite(Bytes, Change.Offset + Cut, Data.substr(Cut));
    return;
  default:
    return;
  }
}

std::string readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  return {std::istreambuf_iterator<char>(File), {}};
}

std::uint64_t inodeOf(const std::string &Path) {
  struct stat Status {};
  return stat(Path.c_str(), &Status) == 0 ? Status.st_ino : 0;
}

} // namespace

bool disk_image::contains(std::string_view Path) const {
  return Path == Folder ||
         (Path.starts_with(Folder) && Path.substr(Folder.size(), 1) == "/");
}

disk_image::file *disk_image::fileOf(std::uint64_t Inode) {
  auto Row = ByInode.find(Inode);
  return Row == ByInode.end() ? nullptr : &Files[Row->second];
}

void disk_image::apply(const disk_operation &Operation) {
  switch (Operation.Kind) {
  case disk_operation_kind::Create:
    // The inode may be that of a file that was removed.
    ByInode.erase(Operation.Inode);
    if (!contains(Operation.Path))
      return;
    ByInode[Operation.Inode] = Files.size();
    changeName(Operation, Files.size());
    Files.emplace_back();
    return;
  case disk_operation_kind::Truncate:
  case disk_operation_kind::Write:
    if (file *File = fileOf(Operation.Inode))
      File->Pending.push_back(Operation);
    return;
  case disk_operation_kind::SyncFile:
    syncFile(Operation.Inode);
    return;
  case disk_operation_kind::SyncFolder:
    syncFolder(Operation.Path);
    return;
  case disk_operation_kind::Rename:
  case disk_operation_kind::Remove:
    if (auto Name = Names.find(Operation.Path); Name != Names.end()) {
      file_number File = Name->second;
      changeName(Operation, File);
      // Another disk image may get the inode for a file of its own.
      if (Operation.Kind == disk_operation_kind::Remove)
        std::erase_if(ByInode,
                      [&](const auto &Row) { return Row.second == File; });
    }
    return;
  }
}

void disk_image::applyName(const name_change &Change, name_map &Names) {
  if (Change.Kind == disk_operation_kind::Create) {
    Names[Change.Path] = Change.File;
    return;
  }
  Names.erase(Change.Path);
  if (Change.Kind == disk_operation_kind::Rename)
    Names[Change.NewPath] = Change.File;
}

void disk_image::changeName(const disk_operation &Operation, file_number File) {
  PendingNames.push_back(
      {Operation.Kind, Operation.Path, Operation.Data, File});
  applyName(PendingNames.back(), Names);
}

void disk_image::syncFile(std::uint64_t Inode) {
  file *File = fileOf(Inode);
  if (!File)
    return;
  for (const disk_operation &Change : File->Pending)
    applyChange(File->Durable, Change);
  File->Pending.clear();
  file_number Number = ByInode[Inode];
  std::erase_if(PendingNames, [&](const name_change &Change) {
    bool IsCreation = Change.Kind == disk_operation_kind::Create;
    if (!IsCreation || Change.File != Number)
      return false;
    applyName(Change, DurableNames);
    return true;
  });
}

void disk_image::syncFolder(const std::string &Path) {
  std::erase_if(PendingNames, [&](const name_change &Change) {
    if (folderOf(Change.Path) != Path)
      return false;
    applyName(Change, DurableNames);
    return true;
  });
}

void disk_image::losePower(std::mt19937_64 &Random, power_loss Kind) {
  bool KeepsSome = Kind == power_loss::KeepsSome;
  for (const name_change &Change : PendingNames)
    if (KeepsSome && below(Random, 2) == 0)
      applyName(Change, DurableNames);
  std::map<std::string, std::string> Contents;
  for (const auto &[Path, Number] : DurableNames) {
    std::string &Bytes = Contents[Path];
    Bytes = Files[Number].Durable;
    for (const disk_operation &Change : Files[Number].Pending)
      if (KeepsSome)
        applyInPart(Bytes, Change, Random);
      else if (Kind == power_loss::TearsAll)
        tearWrite(Bytes, Change, Random);
  }
  rewriteFiles(Contents);
}

void disk_image::wipe() { rewriteFiles({}); }

void disk_image::rewriteFiles(
    const std::map<std::string, std::string> &Contents) {
  std::error_code Ignored;
  std::filesystem::remove_all(Folder, Ignored);
  std::filesystem::create_directories(Folder, Ignored);
  Files.clear();
  ByInode.clear();
  Names.clear();
  PendingNames.clear();
  for (const auto &[Path, Bytes] : Contents) {
    std::ofstream(Path, std::ios::binary) << Bytes;
    ByInode[inodeOf(Path)] = Files.size();
    Names[Path] = Files.size();
    Files.push_back({Bytes, {}});
  }
  DurableNames = Names;
}

std::vector<disk_operation> disk_image::missingOperations() const {
  std::vector<disk_operation> Operations;
  std::error_code Error;
  std::filesystem::directory_iterator Entries(Folder, Error);
  if (Error)
    return Operations;
  for (const auto &Entry : Entries) {
    std::string Path = Entry.path().string();
    std::string Known;
    auto Name = Names.find(Path);
    if (Name != Names.end()) {
      Known = Files[Name->second].Durable;
      for (const disk_operation &Change : Files[Name->second].Pending)
        applyChange(Known, Change);
    }
    std::string Bytes = readFile(Path);
    std::uint64_t Inode = inodeOf(Path);
    if (Name == Names.end())
      Operations.push_back({disk_operation_kind::Create, Inode, 0, Path, {}});
    if (Known == Bytes)
      continue;
    Operations.push_back({disk_operation_kind::Truncate, Inode, 0, {}, {}});
    Operations.push_back({disk_operation_kind::Write, Inode, 0, {}, Bytes});
  }
  return Operations;
}

std::vector<disk_operation> disk_image::toOperations() const {
  std::vector<disk_operation> Operations;
  for (const auto &[Inode, Number] : ByInode) {
    auto Name = std::find_if(
        Names.begin(), Names.end(),
        [Wanted = Number](const auto &Row) { return Row.second == Wanted; });
    if (Name == Names.end())
      continue;
    const std::string &Bytes = Files[Number].Durable;
    Operations.push_back(
        {disk_operation_kind::Create, Inode, 0, Name->first, {}});
    Operations.push_back({disk_operation_kind::Write, Inode, 0, {}, Bytes});
    Operations.push_back({disk_operation_kind::SyncFile, Inode, 0, {}, {}});
  }
  return Operations;
}

// -- The journal --------------------------------------------------------------

namespace {

struct operation_header {
  std::uint64_t Kind = 0;
  std::uint64_t Inode = 0;
  std::uint64_t Offset = 0;
  std::uint64_t PathBytes = 0;
  std::uint64_t DataBytes = 0;
};

} // namespace

std::string encodeOperation(const disk_operation &Operation) {
  operation_header Header{static_cast<std::uint64_t>(Operation.Kind),
                          Operation.Inode, Operation.Offset,
                          Operation.Path.size(), Operation.Data.size()};
  std::string Bytes(sizeof(Header), '\0');
  std::memcpy(Bytes.data(), &Header, sizeof(Header));
  return Bytes + Operation.Path + Operation.Data;
}

std::optional<disk_operation> decodeOperation(std::string_view &Bytes) {
  operation_header Header;
  if (Bytes.size() < sizeof(Header))
    return std::nullopt;
  std::memcpy(&Header, Bytes.data(), sizeof(Header));
  std::uint64_t Size = sizeof(Header) + Header.PathBytes + Header.DataBytes;
  if (Bytes.size() < Size)
    return std::nullopt;
  disk_operation Operation;
  Operation.Kind = static_cast<disk_operation_kind>(Header.Kind);
  Operation.Inode = Header.Inode;
  Operation.Offset = Header.Offset;
  Operation.Path = Bytes.substr(sizeof(Header), Header.PathBytes);
  Operation.Data =
      Bytes.substr(sizeof(Header) + Header.PathBytes, Header.DataBytes);
  Bytes.remove_prefix(Size);
  return Operation;
}

disk_image readJournal(const std::string &Folder, const std::string &Journal) {
  disk_image Image(Folder);
  std::string Bytes = readFile(Journal);
  std::string_view Rest = Bytes;
  while (auto Operation = decodeOperation(Rest))
    Image.apply(*Operation);
  return Image;
}

void writeJournal(const disk_image &Image, const std::string &Journal) {
  std::ofstream File(Journal, std::ios::binary | std::ios::trunc);
  for (const disk_operation &Operation : Image.toOperations())
    File << encodeOperation(Operation);
}

} // namespace turmerichead::disk_standin
