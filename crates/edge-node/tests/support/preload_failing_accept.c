// A library for LD_PRELOAD that lets every second call of accept4 fail as if the client had aborted the connection. The
// connection stays in the backlog.

#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <sys/socket.h>

int accept4(int socket, struct sockaddr *address, socklen_t *length, int flags) {
  static unsigned calls;
  int (*next)(int, struct sockaddr *, socklen_t *, int) = dlsym(RTLD_NEXT, "accept4");
  if (calls++ % 2 == 0) {
    errno = ECONNABORTED;
    return -1;
  }
  return next(socket, address, length, flags);
}
