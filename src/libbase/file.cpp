#include "turmerichead/file.h"

#include "turmerichead/error.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <glib.h>
#include <sys/stat.h>
#include <unistd.h>

namespace turmerichead {

namespace {

bool failedAt(const std::string &Path, GError *Reason) {
  fail(g_error_matches(Reason, G_FILE_ERROR, G_FILE_ERROR_NOENT)
           ? error_code::NotFound
           : error_code::Unavailable,
       Path + ": " + Reason->message);
  g_error_free(Reason);
  return false;
}

} // namespace

std::optional<std::string> readWholeFile(const std::string &Path) {
  char *Text = nullptr;
  gsize Size = 0;
  GError *Reason = nullptr;
  if (!g_file_get_contents(Path.c_str(), &Text, &Size, &Reason)) {
    failedAt(Path, Reason);
    return std::nullopt;
  }
  std::string Bytes(Text, Size);
  g_free(Text);
  return Bytes;
}

bool replaceFile(const std::string &Path, std::string_view Bytes) {
  constexpr int Flags =
      G_FILE_SET_CONTENTS_CONSISTENT | G_FILE_SET_CONTENTS_DURABLE;
  GError *Reason = nullptr;
  if (!g_file_set_contents_full(Path.c_str(), Bytes.data(),
                                static_cast<gssize>(Bytes.size()),
                                static_cast<GFileSetContentsFlags>(Flags),
                                S_IRUSR | S_IWUSR, &Reason))
    return failedAt(Path, Reason);
  return syncFolder(Path.substr(0, Path.rfind('/')));
}

bool syncFolder(const std::string &Folder) {
  int Descriptor = open(Folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  bool Synced = Descriptor >= 0 && fsync(Descriptor) == 0;
  if (!Synced)
    fail(error_code::Unavailable, Folder + ": " + std::strerror(errno));
  if (Descriptor >= 0)
    close(Descriptor);
  return Synced;
}

} // namespace turmerichead
