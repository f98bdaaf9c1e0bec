/// \file
/// Records what a process does to the files below a folder. A program that is
/// linked to this library has its file functions replaced by ones that record
/// and then call the C library's, also for the libraries that it uses.
///
/// A daemon is told by two variables of its environment which folder is its
/// disk and which file takes the record; see FolderVariable. A process may end
/// at any moment: what it has done to its files is then in the record.
#pragma once

#include "disk_image.h"

namespace turmerichead::disk_standin {

/// Passes the operations below \p Folder to \p Sink from now on, in this
/// process. An empty sink ends it.
void recordDisk(std::string Folder,
                std::function<void(const disk_operation &)> Sink);

/// Sets how many more bytes the disk takes before writes fail with ENOSPC.
void setDiskRoom(std::size_t Bytes);

} // namespace turmerichead::disk_standin
