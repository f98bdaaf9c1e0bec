/// \file
/// Owns references to GLib objects.
#pragma once

#include <glib-object.h>
#include <utility>

namespace turmerichead {

/// Owns one reference to a GObject, which the destructor releases.
template <typename Object> class handle {
public:
  handle() = default;

  /// Takes ownership of a reference of the caller (transfer full).
  static handle adopt(Object *Pointer) { return handle(Pointer); }

  /// Adds a reference to an object with another owner (transfer none).
  static handle share(Object *Pointer) {
    if (Pointer)
      g_object_ref(Pointer);
    return handle(Pointer);
  }

  handle(const handle &Other) : Pointer(Other.Pointer) {
    if (Pointer)
      g_object_ref(Pointer);
  }
  handle(handle &&Other) noexcept
      : Pointer(std::exchange(Other.Pointer, nullptr)) {}
  handle &operator=(handle Other) noexcept {
    std::swap(Pointer, Other.Pointer);
    return *this;
  }
  ~handle() {
    if (Pointer)
      g_object_unref(Pointer);
  }

  Object *get() const { return Pointer; }
  explicit operator bool() const { return Pointer != nullptr; }
  void reset() { *this = handle(); }

private:
  explicit handle(Object *Pointer) : Pointer(Pointer) {}
  Object *Pointer = nullptr;
};

} // namespace turmerichead
