/* Fault injection for one process, loaded by LD_PRELOAD: system calls that fail, transfer less or are delayed.
 *
 * The faults are read from a shared page (struct control, the file FAULTS_FILE), which faults.py writes while
 * the process runs. Without a page every call is passed on. Errors are those of the calls' manual pages.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* In the order of FIELDS in faults.py. */
struct control {
    int64_t accept_errno, connect_errno, socket_errno; /* 0: the call is passed on */
    int64_t accept_left; /* accepts that fail before the fault ends; 0: all */
    int64_t sync_errno, write_errno;                   /* of regular files */
    int64_t torn_bytes;  /* bytes that a failing write still writes */
    int64_t wall_ms;     /* the wall clock is ahead by this */
    int64_t hold_ms;     /* delay before the first bytes of a request are written */
    int64_t hold_every;  /* every how many such writes one is delayed; 0: none */
    int64_t read_errno, read_left; /* read_left: reads of sockets that fail before the fault ends */
    int64_t short_bytes; /* most bytes of one read or write of a socket; 0: no limit */
    int64_t accepts, held, writes; /* counters: failed accepts, delayed writes, requests written */
};

static volatile struct control *page;

__attribute__((constructor)) static void load(void)
{
    const char *path = getenv("FAULTS_FILE");
    int descriptor = path != NULL ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (descriptor < 0)
        return;
    void *mapped = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
    close(descriptor);
    if (mapped != MAP_FAILED)
        page = mapped;
}

#define REAL(name)                                   \
    static __typeof__(name) *real;                   \
    if (real == NULL)                                \
        real = (__typeof__(name) *)dlsym(RTLD_NEXT, #name)

#define FAIL_BY(field)                               \
    do {                                             \
        if (page != NULL && page->field != 0) {      \
            errno = (int)page->field;                \
            return -1;                               \
        }                                            \
    } while (0)

static int is_kind(int descriptor, mode_t kind)
{
    struct stat about;
    return page != NULL && fstat(descriptor, &about) == 0 && (about.st_mode & S_IFMT) == kind;
}

int accept4(int descriptor, struct sockaddr *address, socklen_t *length, int flags)
{
    REAL(accept4);
    if (page != NULL && page->accept_errno != 0) {
        int64_t failing = page->accept_errno;
        page->accepts++;
        if (page->accept_left > 0 && --page->accept_left == 0)
            page->accept_errno = 0;
        errno = (int)failing;
        return -1;
    }
    return real(descriptor, address, length, flags);
}

int accept(int descriptor, struct sockaddr *address, socklen_t *length)
{
    return accept4(descriptor, address, length, 0);
}

int socket(int domain, int type, int protocol)
{
    REAL(socket);
    if ((type & 0xf) == SOCK_STREAM)
        FAIL_BY(socket_errno);
    return real(domain, type, protocol);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length)
{
    REAL(connect);
    FAIL_BY(connect_errno);
    return real(descriptor, address, length);
}

int fsync(int descriptor)
{
    REAL(fsync);
    FAIL_BY(sync_errno);
    return real(descriptor);
}

/* A request to a backend begins with its method; answers begin with "HTTP". */
static void delay_request_write(const void *data, size_t length)
{
    if (page == NULL || length < 5)
        return;
    if (memcmp(data, "GET /", 5) != 0 && memcmp(data, "POST ", 5) != 0)
        return;
    int64_t number = page->writes++;
    if (page->hold_every <= 0 || number % page->hold_every != 0)
        return;
    page->held++;
    struct timespec span = {page->hold_ms / 1000, page->hold_ms % 1000 * 1000000};
    nanosleep(&span, NULL);
}

static size_t limited_length(size_t length)
{
    size_t most = page != NULL && page->short_bytes > 0 ? (size_t)page->short_bytes : length;
    return length < most ? length : most;
}

ssize_t write(int descriptor, const void *data, size_t length)
{
    REAL(write);
    if (is_kind(descriptor, S_IFSOCK)) {
        delay_request_write(data, length);
        return real(descriptor, data, limited_length(length));
    }
    if (page != NULL && page->write_errno != 0 && is_kind(descriptor, S_IFREG) && descriptor > 2) {
        if (page->torn_bytes > 0)
            real(descriptor, data, length < (size_t)page->torn_bytes ? length : (size_t)page->torn_bytes);
        errno = (int)page->write_errno;
        return -1;
    }
    return real(descriptor, data, length);
}

ssize_t writev(int descriptor, const struct iovec *parts, int count)
{
    REAL(writev);
    if (count > 0 && is_kind(descriptor, S_IFSOCK)) {
        delay_request_write(parts[0].iov_base, parts[0].iov_len);
        if (page->short_bytes > 0)
            return write(descriptor, parts[0].iov_base, parts[0].iov_len);
    }
    return real(descriptor, parts, count);
}

ssize_t sendmsg(int descriptor, const struct msghdr *message, int flags)
{
    REAL(sendmsg);
    if (message->msg_iovlen > 0 && is_kind(descriptor, S_IFSOCK))
        delay_request_write(message->msg_iov[0].iov_base, message->msg_iov[0].iov_len);
    return real(descriptor, message, flags);
}

ssize_t read(int descriptor, void *data, size_t length)
{
    REAL(read);
    if (!is_kind(descriptor, S_IFSOCK))
        return real(descriptor, data, length);
    ssize_t got = real(descriptor, data, limited_length(length));
    if (got >= 0 && page->read_errno != 0 && page->read_left > 0) {
        page->read_left--;
        errno = (int)page->read_errno;
        return -1;
    }
    return got;
}

int clock_gettime(clockid_t clock, struct timespec *at)
{
    REAL(clock_gettime);
    int result = real(clock, at);
    if (result == 0 && clock == CLOCK_REALTIME && page != NULL)
        at->tv_sec += page->wall_ms / 1000;
    return result;
}

int gettimeofday(struct timeval *restrict at, void *restrict zone)
{
    REAL(gettimeofday);
    int result = real(at, zone);
    if (result == 0 && page != NULL)
        at->tv_sec += page->wall_ms / 1000;
    return result;
}
