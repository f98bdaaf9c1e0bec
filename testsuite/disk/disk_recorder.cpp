#include "disk_recorder.h"

#include <array>
#include <cerrno>
#include <chrono>
#include <climits>
#include <cstdarg>
#include <cstdint>
#include <cstdlib>
#include <dlfcn.h>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace turmerichead::disk_standin {

namespace {

/// Where operations go. The programs that are tested use their files in one
/// thread.
struct recorder {
  std::string Folder;
  std::function<void(const disk_operation &)> Sink;
  std::string FullMark; ///< See FullSuffix; empty: none.
  std::size_t Room = SIZE_MAX;
  std::chrono::milliseconds SyncTime{0};
};

/// Appends to a journal, which a killed process may have left incomplete.
class journal_writer {
public:
  journal_writer(const std::string &Folder, const std::string &Journal) {
    truncate(Journal);
    Descriptor = static_cast<int>(
        syscall(SYS_openat, AT_FDCWD, Journal.c_str(),
                O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0640));
    for (const disk_operation &Operation :
         readJournal(Folder, Journal).missingOperations())
      append(Operation);
  }

  void append(const disk_operation &Operation) const {
    std::string Bytes = encodeOperation(Operation);
    syscall(SYS_write, Descriptor, Bytes.data(), Bytes.size());
  }

private:
  // Drops the last operation if it was written in part.
  static void truncate(const std::string &Journal) {
    std::ifstream File(Journal, std::ios::binary);
    std::string Bytes(std::istreambuf_iterator<char>(File), {});
    std::string_view Rest = Bytes;
    while (decodeOperation(Rest)) {
    }
    if (!Rest.empty())
      syscall(SYS_truncate, Journal.c_str(), Bytes.size() - Rest.size());
  }

  int Descriptor = -1;
};

recorder fromEnvironment() {
  const char *Folder = std::getenv(FolderVariable);
  const char *Journal = std::getenv(JournalVariable);
  if (!Folder || !Journal)
    return {};
  journal_writer Writer(Folder, Journal);
  const char *SyncMs = std::getenv(SyncTimeVariable);
  return {
      Folder,
      [Writer](const disk_operation &Operation) { Writer.append(Operation); },
      std::string(Journal) + FullSuffix, SIZE_MAX,
      std::chrono::milliseconds(SyncMs ? std::atoi(SyncMs) : 0)};
}

/// Is not recording until its own set-up, which reads files, is complete.
recorder &theRecorder() {
  static recorder Recorder;
  static bool IsReady = false;
  if (!std::exchange(IsReady, true))
    Recorder = fromEnvironment();
  return Recorder;
}

bool records(std::string_view Path) {
  const recorder &Recorder = theRecorder();
  return Recorder.Sink && Path.starts_with(Recorder.Folder) &&
         (Path.size() == Recorder.Folder.size() ||
          Path[Recorder.Folder.size()] == '/');
}

void record(const disk_operation &Operation) { theRecorder().Sink(Operation); }

/// Whether the disk has no room for \p Size more bytes.
bool isFull(std::size_t Size) {
  recorder &Recorder = theRecorder();
  if (Recorder.Room < Size)
    return true;
  Recorder.Room -= Size;
  const std::string &Mark = Recorder.FullMark;
  return !Mark.empty() && access(Mark.c_str(), F_OK) == 0;
}

/// An open file or folder below the recorded folder.
struct recorded_file {
  std::string Path;
  std::uint64_t Inode = 0;
  bool IsFolder = false;
};

std::optional<recorded_file> recordedFile(int Descriptor) {
  if (!theRecorder().Sink)
    return std::nullopt;
  struct stat Status {};
  if (fstat(Descriptor, &Status) != 0 ||
      !(S_ISREG(Status.st_mode) || S_ISDIR(Status.st_mode)))
    return std::nullopt;
  std::string Link = "/proc/self/fd/" + std::to_string(Descriptor);
  std::array<char, PATH_MAX> Path{};
  ssize_t Size = readlink(Link.c_str(), Path.data(), Path.size());
  std::string_view Text(Path.data(),
                        Size < 0 ? 0 : static_cast<std::size_t>(Size));
  if (!records(Text))
    return std::nullopt;
  return recorded_file{std::string(Text), Status.st_ino,
                       S_ISDIR(Status.st_mode)};
}

/// The function of the C library that \p Name names.
template <typename Function> Function *original(const char *Name) {
  return reinterpret_cast<Function *>(dlsym(RTLD_NEXT, Name));
}

int openRecorded(const char *Path, int Flags, mode_t Mode) {
  bool Exists = access(Path, F_OK) == 0;
  bool Changes = (Flags & (O_CREAT | O_TRUNC)) != 0 && records(Path);
  auto Descriptor =
      static_cast<int>(syscall(SYS_openat, AT_FDCWD, Path, Flags, Mode));
  auto File =
      Changes && Descriptor >= 0 ? recordedFile(Descriptor) : std::nullopt;
  if (File && !Exists)
    record({disk_operation_kind::Create, File->Inode, 0, File->Path, {}});
  else if (File && (Flags & O_TRUNC) != 0)
    record({disk_operation_kind::Truncate, File->Inode, 0, {}, {}});
  return Descriptor;
}

ssize_t writeRecorded(int Descriptor, const void *Data, std::size_t Size,
                      off_t Offset) {
  auto File = recordedFile(Descriptor);
  if (File && isFull(Size)) {
    errno = ENOSPC;
    return -1;
  }
  ssize_t Count = syscall(SYS_pwrite64, Descriptor, Data, Size, Offset);
  if (File && Count > 0)
    record({disk_operation_kind::Write,
            File->Inode,
            static_cast<std::uint64_t>(Offset),
            {},
            std::string(static_cast<const char *>(Data),
                        static_cast<std::size_t>(Count))});
  return Count;
}

int truncateRecorded(int Descriptor, off_t Size) {
  auto File = recordedFile(Descriptor);
  auto Result = static_cast<int>(syscall(SYS_ftruncate, Descriptor, Size));
  if (File && Result == 0)
    record({disk_operation_kind::Truncate,
            File->Inode,
            static_cast<std::uint64_t>(Size),
            {},
            {}});
  return Result;
}

int syncRecorded(int Descriptor, long Call) {
  auto File = recordedFile(Descriptor);
  // A process that is killed meanwhile has not synced.
  if (File)
    std::this_thread::sleep_for(theRecorder().SyncTime);
  auto Result = static_cast<int>(syscall(Call, Descriptor));
  if (!File || Result != 0)
    return Result;
  if (File->IsFolder)
    record({disk_operation_kind::SyncFolder, 0, 0, File->Path, {}});
  else
    record({disk_operation_kind::SyncFile, File->Inode, 0, {}, {}});
  return Result;
}

} // namespace

void recordDisk(std::string Folder,
                std::function<void(const disk_operation &)> Sink) {
  theRecorder() = {std::move(Folder), std::move(Sink), {}, SIZE_MAX, {}};
}

void setDiskRoom(std::size_t Bytes) { theRecorder().Room = Bytes; }

} // namespace turmerichead::disk_standin

// -- The functions that take the place of the C library's ---------------------

using namespace turmerichead::disk_standin;

// NOLINTBEGIN(readability-identifier-naming,cert-dcl50-cpp)
extern "C" {

int open(const char *Path, int Flags, ...) {
  va_list Arguments;
  va_start(Arguments, Flags);
  mode_t Mode = (Flags & O_CREAT) != 0 ? va_arg(Arguments, mode_t) : 0;
  va_end(Arguments);
  return openRecorded(Path, Flags, Mode);
}

int open64(const char *Path, int Flags, ...) {
  va_list Arguments;
  va_start(Arguments, Flags);
  mode_t Mode = (Flags & O_CREAT) != 0 ? va_arg(Arguments, mode_t) : 0;
  va_end(Arguments);
  return openRecorded(Path, Flags, Mode);
}

ssize_t pwrite(int Descriptor, const void *Data, size_t Size, off_t Offset) {
  return writeRecorded(Descriptor, Data, Size, Offset);
}

ssize_t pwrite64(int Descriptor, const void *Data, size_t Size,
                 off64_t Offset) {
  return writeRecorded(Descriptor, Data, Size, Offset);
}

ssize_t write(int Descriptor, const void *Data, size_t Size) {
  if (!recordedFile(Descriptor))
    return syscall(SYS_write, Descriptor, Data, Size);
  off_t Offset = lseek(Descriptor, 0, SEEK_CUR);
  ssize_t Count = writeRecorded(Descriptor, Data, Size, Offset);
  if (Count > 0)
    lseek(Descriptor, Count, SEEK_CUR);
  return Count;
}

int ftruncate(int Descriptor, off_t Size) noexcept {
  return truncateRecorded(Descriptor, Size);
}

int ftruncate64(int Descriptor, off64_t Size) noexcept {
  return truncateRecorded(Descriptor, Size);
}

int fsync(int Descriptor) { return syncRecorded(Descriptor, SYS_fsync); }

int fdatasync(int Descriptor) {
  return syncRecorded(Descriptor, SYS_fdatasync);
}

int rename(const char *From, const char *To) noexcept {
  int Result = original<int(const char *, const char *)>("rename")(From, To);
  if (Result == 0 && records(From))
    record({disk_operation_kind::Rename, 0, 0, From, To});
  return Result;
}

int unlink(const char *Path) noexcept {
  int Result = original<int(const char *)>("unlink")(Path);
  if (Result == 0 && records(Path))
    record({disk_operation_kind::Remove, 0, 0, Path, {}});
  return Result;
}

} // extern "C"
// NOLINTEND(readability-identifier-naming,cert-dcl50-cpp)
