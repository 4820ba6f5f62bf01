// A library for LD_PRELOAD that lets each call of recv, send and writev on a socket transfer only a few bytes, as the
// system may do at any time. A call that only peeks is passed on unchanged.

#define _GNU_SOURCE
#include <dlfcn.h>
#include <sys/socket.h>
#include <sys/types.h>
#include <sys/uio.h>

enum { MAX_BYTES_PER_CALL = 48 };

static size_t limited(size_t length) { return length < MAX_BYTES_PER_CALL ? length : MAX_BYTES_PER_CALL; }

ssize_t recv(int socket, void *buffer, size_t length, int flags) {
  ssize_t (*next)(int, void *, size_t, int) = dlsym(RTLD_NEXT, "recv");
  return next(socket, buffer, flags & MSG_PEEK ? length : limited(length), flags);
}

ssize_t send(int socket, const void *buffer, size_t length, int flags) {
  ssize_t (*next)(int, const void *, size_t, int) = dlsym(RTLD_NEXT, "send");
  return next(socket, buffer, limited(length), flags);
}

ssize_t writev(int descriptor, const struct iovec *parts, int count) {
  ssize_t (*next)(int, const struct iovec *, int) = dlsym(RTLD_NEXT, "writev");
  for (int index = 0; index < count; index++) {
    if (parts[index].iov_len > 0) {
      struct iovec part = {parts[index].iov_base, limited(parts[index].iov_len)};
      return next(descriptor, &part, 1);
    }
  }
  return next(descriptor, parts, count);
}
