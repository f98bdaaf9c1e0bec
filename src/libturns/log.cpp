#include "turmerichead/turns_log.h"

#include "turmerichead/error.h"
#include "turmerichead/file.h"

#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <limits>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace turmerichead::turns {

namespace {

// The last digit is the format version.
constexpr std::string_view Magic = "TURNLOG1";
constexpr std::size_t FileHeaderBytes = 8;
constexpr std::size_t RecordHeaderBytes = 12; // Length and checksum.
constexpr std::uint32_t MaxRecordBytes = 64U << 20U;
constexpr std::string_view Prefix = "segment-";
constexpr std::string_view Suffix = ".log";

// A new turn is refused above 85 % of the maximum size, its end above 90 %. A
// host that catches up stores the turns that it has lost, about as many as each
// other member has, and what it copies twice.
constexpr std::uint64_t NewWorkPercent = 85;
constexpr std::uint64_t CompletionPercent = 90;
constexpr std::uint64_t Hundred = 100;

std::uint64_t limitFor(record_purpose Purpose, std::uint64_t MaxBytes) {
  switch (Purpose) {
  case record_purpose::NewWork:
    return MaxBytes / Hundred * NewWorkPercent;
  case record_purpose::Completion:
    return MaxBytes / Hundred * CompletionPercent;
  case record_purpose::Copy:
    return MaxBytes;
  case record_purpose::Upkeep:
    break;
  }
  return std::numeric_limits<std::uint64_t>::max();
}

std::string errnoText(std::string_view What) {
  return std::string(What) + ": " + std::strerror(errno);
}

/// Returns the header of a record: its length, then its checksum.
std::string headerOf(std::string_view Bytes) {
  auto Size = static_cast<std::uint32_t>(Bytes.size());
  std::uint64_t Sum = hash64(Bytes, Size);
  std::string Header(RecordHeaderBytes, '\0');
  std::memcpy(Header.data(), &Size, sizeof(Size));
  std::memcpy(Header.data() + sizeof(Size), &Sum, sizeof(Sum));
  return Header;
}

/// Returns the record at \p Offset of a segment's text; nullopt if there is no
/// valid one.
std::optional<std::string_view> recordAt(std::string_view Text,
                                         std::size_t Offset) {
  if (Text.size() < Offset + RecordHeaderBytes)
    return std::nullopt;
  std::uint32_t Size = 0;
  std::uint64_t Sum = 0;
  std::memcpy(&Size, Text.data() + Offset, sizeof(Size));
  std::memcpy(&Sum, Text.data() + Offset + sizeof(Size), sizeof(Sum));
  if (Size > MaxRecordBytes || Text.size() - Offset - RecordHeaderBytes < Size)
    return std::nullopt;
  std::string_view Bytes = Text.substr(Offset + RecordHeaderBytes, Size);
  if (hash64(Bytes, Size) != Sum)
    return std::nullopt;
  return Bytes;
}

bool readAt(int Descriptor, std::uint64_t Offset, char *Data,
            std::size_t Size) {
  while (Size > 0) {
    ssize_t Count = pread(Descriptor, Data, Size, static_cast<off_t>(Offset));
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count <= 0)
      return false;
    Data += Count;
    Offset += static_cast<std::uint64_t>(Count);
    Size -= static_cast<std::size_t>(Count);
  }
  return true;
}

bool writeAt(int Descriptor, std::uint64_t Offset, std::string_view Bytes) {
  while (!Bytes.empty()) {
    ssize_t Count = pwrite(Descriptor, Bytes.data(), Bytes.size(),
                           static_cast<off_t>(Offset));
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Count));
    Offset += static_cast<std::uint64_t>(Count);
  }
  return true;
}

/// Reads the records of a segment in blocks, as most of them are small.
class block_reader {
public:
  block_reader(int Descriptor, std::uint64_t SegmentSize)
      : Descriptor(Descriptor), SegmentSize(SegmentSize) {}

  /// Returns the record at \p Offset, which must not be less than that of the
  /// call before; nullopt if there is no valid one. The bytes are valid until
  /// the next call.
  std::optional<std::string_view> read(std::uint64_t Offset) {
    if (auto Bytes = recordAt(Block, Offset - BlockOffset))
      return Bytes;
    if (!load(Offset, BlockBytes))
      return std::nullopt;
    if (auto Bytes = recordAt(Block, 0))
      return Bytes;
    // It may be longer than a block.
    std::uint32_t Size = 0;
    if (Block.size() < RecordHeaderBytes)
      return std::nullopt;
    std::memcpy(&Size, Block.data(), sizeof(Size));
    if (Size > MaxRecordBytes || !load(Offset, RecordHeaderBytes + Size))
      return std::nullopt;
    return recordAt(Block, 0);
  }

private:
  static constexpr std::uint64_t BlockBytes = 256U << 10U;

  bool load(std::uint64_t Offset, std::uint64_t Size) {
    BlockOffset = Offset;
    Block.resize(std::min(Size, SegmentSize - Offset));
    return readAt(Descriptor, Offset, Block.data(), Block.size());
  }

  int Descriptor;
  std::uint64_t SegmentSize;
  std::uint64_t BlockOffset = 0;
  std::string Block;
};

std::optional<std::uint64_t> numberOf(std::string_view Name) {
  if (!Name.starts_with(Prefix) || !Name.ends_with(Suffix))
    return std::nullopt;
  Name.remove_prefix(Prefix.size());
  Name.remove_suffix(Suffix.size());
  std::uint64_t Number = 0;
  auto Result = std::from_chars(Name.data(), Name.data() + Name.size(), Number);
  if (Result.ec != std::errc() || Result.ptr != Name.data() + Name.size())
    return std::nullopt;
  return Number;
}

} // namespace

std::string record_log::pathOf(std::uint64_t Segment) const {
  constexpr std::size_t Digits = 10;
  std::string Number = std::to_string(Segment);
  Number.insert(0, Digits - std::min(Digits, Number.size()), '0');
  return Settings.Folder + "/" + std::string(Prefix) + Number +
         std::string(Suffix);
}

std::optional<record_log> record_log::open(log_settings Settings,
                                           const visitor &Visit,
                                           log_recovery &Recovery) {
  record_log Log;
  Log.Settings = std::move(Settings);
  std::error_code Error;
  std::filesystem::create_directories(Log.Settings.Folder, Error);
  std::vector<std::uint64_t> Numbers;
  std::filesystem::directory_iterator Entries(Log.Settings.Folder, Error);
  if (Error)
    return fail(error_code::Unavailable,
                Log.Settings.Folder + ": " + Error.message());
  for (const auto &Entry : Entries)
    if (auto Number = numberOf(Entry.path().filename().string()))
      Numbers.push_back(*Number);
  std::sort(Numbers.begin(), Numbers.end());
  for (std::uint64_t Number : Numbers)
    if (!Log.load(Number, Visit, Recovery))
      return std::nullopt;
  Recovery.Segments = Numbers.size();
  if (!Recovery.Damaged && !Log.removeInvalidEnds())
    return std::nullopt;
  // Each start begins a new segment, so that a torn end is never overwritten.
  std::uint64_t Next = Numbers.empty() ? 1 : Numbers.back() + 1;
  if (!Log.startSegment(Next))
    return std::nullopt;
  return Log;
}

bool record_log::load(std::uint64_t Number, const visitor &Visit,
                      log_recovery &Recovery) {
  int Descriptor = ::open(pathOf(Number).c_str(), O_RDWR | O_CLOEXEC);
  struct stat Status {};
  if (Descriptor < 0 || fstat(Descriptor, &Status) != 0) {
    fail(error_code::Unavailable, errnoText(pathOf(Number)));
    return false;
  }
  std::string Text(static_cast<std::size_t>(Status.st_size), '\0');
  if (!readAt(Descriptor, 0, Text.data(), Text.size()) ||
      fsync(Descriptor) != 0) {
    close(Descriptor);
    fail(error_code::Unavailable, errnoText(pathOf(Number)));
    return false;
  }
  std::size_t Offset = FileHeaderBytes;
  bool HasHeader = Text.starts_with(Magic);
  while (HasHeader) {
    auto Bytes = recordAt(Text, Offset);
    if (!Bytes)
      break;
    if (Offset == FileHeaderBytes)
      reportDamage(Recovery);
    ++Recovery.Records;
    Visit({Number, Offset, static_cast<std::uint32_t>(Bytes->size())}, *Bytes);
    Offset += RecordHeaderBytes + Bytes->size();
  }
  std::size_t ValidBytes = HasHeader ? Offset : 0;
  bool HasInvalidEnd = ValidBytes < Text.size();
  Segments[Number] = {Descriptor, ValidBytes, HasInvalidEnd};
  Recovery.TornBytes += Text.size() - ValidBytes;
  TotalBytes += ValidBytes;
  return true;
}

// A segment gets records only once the ones before it are synced, so that an
// invalid end is damage only if another segment with records follows.
void record_log::reportDamage(log_recovery &Recovery) const {
  for (const auto &[Number, Segment] : Segments) {
    if (!Segment.HasInvalidEnd || Recovery.Damaged)
      continue;
    Recovery.Damaged = true;
    Recovery.DamageText = pathOf(Number) + ": invalid record at byte " +
                          std::to_string(Segment.Size);
  }
}

bool record_log::removeInvalidEnd(std::uint64_t Number) {
  segment &Segment = Segments[Number];
  if (!Segment.HasInvalidEnd)
    return true;
  if (ftruncate(Segment.Descriptor, static_cast<off_t>(Segment.Size)) != 0 ||
      fsync(Segment.Descriptor) != 0) {
    fail(error_code::Unavailable, errnoText(pathOf(Number)));
    return false;
  }
  Segment.HasInvalidEnd = false;
  return true;
}

bool record_log::removeInvalidEnds() {
  std::vector<std::uint64_t> Numbers = segments();
  return std::all_of(
      Numbers.begin(), Numbers.end(),
      [this](std::uint64_t Number) { return removeInvalidEnd(Number); });
}

bool record_log::startSegment(std::uint64_t Number) {
  int Descriptor = ::open(pathOf(Number).c_str(),
                          O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0640);
  if (Descriptor < 0 || !writeAt(Descriptor, 0, Magic) ||
      fsync(Descriptor) != 0 || !syncFolder(Settings.Folder)) {
    fail(error_code::Unavailable, errnoText(pathOf(Number)));
    if (Descriptor >= 0) {
      close(Descriptor);
      unlink(pathOf(Number).c_str());
    }
    return false;
  }
  Segments[Number] = {Descriptor, FileHeaderBytes, false};
  SyncedSize = FileHeaderBytes;
  TotalBytes += FileHeaderBytes;
  return true;
}

bool record_log::refuses(record_purpose Purpose, std::uint64_t Size) const {
  return Settings.MaxBytes > 0 && TotalBytes + RecordHeaderBytes + Size >
                                      limitFor(Purpose, Settings.MaxBytes);
}

std::optional<log_position> record_log::append(std::string_view Bytes,
                                               record_purpose Purpose) {
  if (refuses(Purpose, Bytes.size()))
    return fail(error_code::Refused, "the log has reached its maximum size");
  std::uint64_t Size = RecordHeaderBytes + Bytes.size();
  auto &[Number, Segment] = *Segments.rbegin();
  log_position Position{Number, Segment.Size,
                        static_cast<std::uint32_t>(Bytes.size())};
  Buffer += headerOf(Bytes);
  Buffer += Bytes;
  Segment.Size += Size;
  TotalBytes += Size;
  return Position;
}

bool record_log::writeBuffer() {
  if (Buffer.empty())
    return true;
  segment &Newest = Segments.rbegin()->second;
  if (!writeAt(Newest.Descriptor, Newest.Size - Buffer.size(), Buffer))
    return false;
  Buffer.clear();
  return true;
}

bool record_log::discardUnsynced() {
  auto &[Number, Newest] = *Segments.rbegin();
  TotalBytes -= Newest.Size - SyncedSize;
  Newest.Size = SyncedSize;
  Newest.HasInvalidEnd = true;
  Buffer.clear();
  return removeInvalidEnd(Number);
}

bool record_log::sync() {
  segment &Newest = Segments.rbegin()->second;
  if (Newest.Size == SyncedSize)
    return true;
  if (!writeBuffer() || fdatasync(Newest.Descriptor) != 0) {
    error Reason{error_code::Unavailable, errnoText("failed to write the log")};
    // The file may have reached its limit, and its pages in memory may differ
    // from the disk by now. While invalid bytes may follow its records, no
    // other segment may get any.
    if (discardUnsynced() && SyncedSize > FileHeaderBytes)
      startSegment(Segments.rbegin()->first + 1);
    fail(Reason.Code, Reason.Text);
    return false;
  }
  SyncedSize = Newest.Size;
  std::uint64_t Number = Segments.rbegin()->first;
  if (Newest.Size >= Settings.SegmentBytes && removeInvalidEnd(Number))
    startSegment(Number + 1);
  return true;
}

std::string record_log::invalidRecordText(std::uint64_t Segment,
                                          std::uint64_t Offset) const {
  return pathOf(Segment) + ": the record at byte " + std::to_string(Offset) +
         " is invalid";
}

std::optional<std::string> record_log::read(const log_position &Position) {
  auto Segment = Segments.find(Position.Segment);
  if (Segment == Segments.end())
    return fail(error_code::NotFound, "the segment no longer exists");
  if (!writeBuffer())
    return fail(error_code::Unavailable, errnoText("failed to write the log"));
  std::string Text(RecordHeaderBytes + Position.Size, '\0');
  if (!readAt(Segment->second.Descriptor, Position.Offset, Text.data(),
              Text.size()) ||
      !recordAt(Text, 0))
    return fail(error_code::Corrupt,
                invalidRecordText(Position.Segment, Position.Offset));
  return Text.substr(RecordHeaderBytes);
}

std::optional<log_position> record_log::scan(
    log_position From,
    const std::function<bool(const log_position &, std::string_view)> &Visit) {
  if (!writeBuffer())
    return fail(error_code::Unavailable, errnoText("failed to write the log"));
  auto Segment = Segments.lower_bound(From.Segment);
  std::uint64_t Offset = FileHeaderBytes;
  if (Segment != Segments.end() && Segment->first == From.Segment)
    Offset = std::max<std::uint64_t>(From.Offset, FileHeaderBytes);
  for (; Segment != Segments.end(); ++Segment, Offset = FileHeaderBytes) {
    block_reader Reader(Segment->second.Descriptor, Segment->second.Size);
    while (Offset < Segment->second.Size) {
      auto Bytes = Reader.read(Offset);
      if (!Bytes)
        return fail(error_code::Corrupt,
                    invalidRecordText(Segment->first, Offset));
      log_position Position{Segment->first, Offset,
                            static_cast<std::uint32_t>(Bytes->size())};
      if (!Visit(Position, *Bytes))
        return Position;
      Offset += RecordHeaderBytes + Bytes->size();
    }
  }
  return end();
}

log_position record_log::end() const {
  const auto &[Number, Segment] = *Segments.rbegin();
  return {Number, Segment.Size, 0};
}

log_position record_log::syncedEnd() const {
  return {Segments.rbegin()->first, SyncedSize, 0};
}

std::vector<std::uint64_t> record_log::segments() const {
  std::vector<std::uint64_t> Numbers;
  for (const auto &[Number, Segment] : Segments)
    Numbers.push_back(Number);
  return Numbers;
}

std::uint64_t record_log::bytes(std::uint64_t Segment) const {
  auto Row = Segments.find(Segment);
  return Row == Segments.end() ? 0 : Row->second.Size;
}

bool record_log::remove(std::uint64_t Number) {
  auto Segment = Segments.find(Number);
  if (Segment == Segments.end() || Number == Segments.rbegin()->first)
    return false;
  close(Segment->second.Descriptor);
  TotalBytes -= Segment->second.Size;
  Segments.erase(Segment);
  return unlink(pathOf(Number).c_str()) == 0;
}

record_log::record_log(record_log &&Other) noexcept {
  *this = std::move(Other);
}

record_log &record_log::operator=(record_log &&Other) noexcept {
  std::swap(Settings, Other.Settings);
  std::swap(Segments, Other.Segments);
  std::swap(Buffer, Other.Buffer);
  std::swap(SyncedSize, Other.SyncedSize);
  std::swap(TotalBytes, Other.TotalBytes);
  return *this;
}

record_log::~record_log() {
  for (auto &[Number, Segment] : Segments)
    close(Segment.Descriptor);
}

} // namespace turmerichead::turns
