/*
 * Fault injection for one process: fails system calls of the program that it is preloaded into (LD_PRELOAD).
 *
 * The library interposes functions of the C library. A replacement either fails with an error that Linux
 * documents for the call, or calls the original. It is for tests only. One of two sources sets the faults:
 *
 *   FAULT_CONTROL  a file of `struct control`, mapped into memory; a test changes it while the program runs
 *   FAULT_PLAN     a schedule of items NAME=RATE[@START[+LENGTH[/PERIOD]]], separated by semicolons, as in
 *                  `seed=7;journal_write=255@0+1200/3000;send_interrupted=40`. A call fails with probability
 *                  RATE / 255, inside a window given in milliseconds since the start of the process. NAME is
 *                  a fault (see fault_names), or one of these: seed; wall_offset_ms, the wall clock's
 *                  difference to the real one; wall_step_ms, a further difference inside the window.
 *
 * Faults of files affect the files below FAULT_DIRECTORY, or RELAY_STATE if that is not set.
 */
#define _GNU_SOURCE
#include <dirent.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

/* The order is that of `Fault` in src/lib.rs. */
enum fault {
    FILE_WRITE,          /* write to a file */
    FILE_SHORT_WRITE,    /* write to a file writes a part of the bytes, the next one fails */
    KILL_IN_FILE_WRITE,  /* SIGKILL after a write to a file has written a part of the bytes or all */
    FILE_CREATE,         /* open of a file for writing */
    FILE_TRUNCATE,       /* ftruncate */
    FILE_REMOVE,         /* unlink */
    FILE_READ,           /* open of a file for reading, and read */
    DIRECTORY_LIST,      /* opendir */
    SEND_INTERRUPTED,
    SEND_SHORT,
    SEND_NO_BUFFERS,
    RECEIVE_INTERRUPTED,
    RECEIVE_SHORT,
    RECEIVE_NO_BUFFERS,
    ACCEPT,
    SOCKET,
    CONNECT,
    CONNECT_INTERRUPTED, /* connect returns EINTR, and the kernel continues to connect */
    SOCKET_STATUS,       /* getsockopt and getpeername */
    SOCKET_OPTION,       /* setsockopt and ioctl */
    WAIT_INTERRUPTED,    /* epoll_wait and epoll_pwait2 */
    REGISTER,            /* epoll_ctl with EPOLL_CTL_ADD */
    REGISTER_AGAIN,      /* epoll_ctl with EPOLL_CTL_MOD */
    STANDSTILL,          /* the process stalls for up to 150 ms after it has read the monotonic clock */
    LOG_WRITE,           /* write to standard error */
    FAULT_COUNT
};

/* Names of the faults in FAULT_PLAN. */
static const char *const fault_names[FAULT_COUNT] = {
    "journal_write", "journal_short_write", "journal_kill", "journal_create", "journal_truncate",
    "journal_remove", "journal_read", "journal_list", "send_interrupted", "send_short", "send_no_buffers",
    "receive_interrupted", "receive_short", "receive_no_buffers", "accept", "socket", "connect",
    "connect_interrupted", "socket_status", "socket_option", "wait_interrupted", "register",
    "register_again", "standstill", "log_write",
};

#define MAX_RATE 255
#define MAX_FDS 65536
#define MAX_STANDSTILL_MS 150
/* A stall follows a reading of the clock with probability rate / 255 / STANDSTILL_DIVISOR, since an iteration
 * of the program's event loop reads the clock several times. */
#define STANDSTILL_DIVISOR 16
#define MS_PER_S 1000
#define NS_PER_MS 1000000

/* The layout is that of `FaultControl` in src/lib.rs. */
struct control {
    int64_t wall_offset_ms;
    uint64_t seed;
    uint8_t rates[FAULT_COUNT];
    uint8_t reserved[64 - FAULT_COUNT];
    uint64_t injected[FAULT_COUNT];
};

/* The time in which a fault is active. */
struct window {
    int64_t start_ms; /* since the start of the process */
    int64_t length_ms; /* 0 for a window without end */
    int64_t period_ms; /* 0 for a window that does not repeat */
};

static struct control local_control;
static struct control *control = &local_control;
static struct window windows[FAULT_COUNT];
static struct window wall_window;
/* Step of the wall clock within wall_window, from FAULT_PLAN. */
static int64_t planned_wall_step_ms;
static uint64_t random_state;
static int64_t started_ms;
static const char *directory;
/* Whether a descriptor is of a file below the directory, and whether the next write to it fails. */
static unsigned char is_tracked_file[MAX_FDS];
static unsigned char next_write_fails[MAX_FDS];

#define ORIGINAL(name) \
    static __typeof__(&name) original; \
    if (!original) original = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

static int real_clock(clockid_t id, struct timespec *out) {
    ORIGINAL(clock_gettime);
    return original(id, out);
}

static int64_t monotonic_ms(void) {
    struct timespec now;
    real_clock(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

/* Returns the next random number, by the generator SplitMix64. */
static uint64_t next_random(void) {
    uint64_t z = __atomic_add_fetch(&random_state, 0x9e3779b97f4a7c15u, __ATOMIC_RELAXED);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
}

static int in_window(const struct window *window) {
    int64_t since = monotonic_ms() - started_ms - window->start_ms;
    if (since < 0) return 0;
    if (window->period_ms > 0) since %= window->period_ms;
    return window->length_ms == 0 || since < window->length_ms;
}

/* Whether a fault is to be injected into the present call. Counts the injected faults. */
static int should_inject(enum fault fault) {
    uint8_t rate = __atomic_load_n(&control->rates[fault], __ATOMIC_RELAXED);
    if (rate == 0 || !in_window(&windows[fault])) return 0;
    if (rate != MAX_RATE && next_random() % MAX_RATE >= rate) return 0;
    __atomic_add_fetch(&control->injected[fault], 1, __ATOMIC_RELAXED);
    return 1;
}

/* Sets errno to one of these errors, at random, and returns -1. */
static int fail_with(const int *errors, size_t count) {
    errno = errors[next_random() % count];
    return -1;
}
#define FAIL(...) fail_with((const int[]){__VA_ARGS__}, sizeof((int[]){__VA_ARGS__}) / sizeof(int))

static void read_plan(const char *plan) {
    char *copy = strdup(plan), *rest = copy, *item;
    while ((item = strsep(&rest, ";"))) {
        char name[64];
        long long value = 0, start = 0, length = 0, period = 0;
        if (sscanf(item, "%63[^=]=%lld@%lld+%lld/%lld", name, &value, &start, &length, &period) < 2) continue;
        struct window window = {start, length, period};
        if (strcmp(name, "seed") == 0) local_control.seed = (uint64_t)value;
        if (strcmp(name, "wall_offset_ms") == 0) local_control.wall_offset_ms = value;
        if (strcmp(name, "wall_step_ms") == 0) {
            planned_wall_step_ms = value;
            wall_window = window;
        }
        for (int fault = 0; fault < FAULT_COUNT; fault++) {
            if (strcmp(name, fault_names[fault]) == 0) {
                local_control.rates[fault] = (uint8_t)value;
                windows[fault] = window;
            }
        }
    }
    free(copy);
}

__attribute__((constructor)) static void initialize(void) {
    started_ms = monotonic_ms();
    directory = getenv("FAULT_DIRECTORY");
    if (!directory) directory = getenv("RELAY_STATE");
    const char *plan = getenv("FAULT_PLAN");
    if (plan) read_plan(plan);
    const char *path = getenv("FAULT_CONTROL");
    if (path) {
        int fd = open(path, O_RDWR | O_CLOEXEC);
        if (fd >= 0) {
            void *mapped = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
            if (mapped != MAP_FAILED) control = mapped;
            close(fd);
        }
    }
    random_state = control->seed ^ ((uint64_t)getpid() << 32);
}

/* ---- Clocks */

int clock_gettime(clockid_t id, struct timespec *out) {
    int result = real_clock(id, out);
    if (id == CLOCK_REALTIME && result == 0) {
        int64_t offset = __atomic_load_n(&control->wall_offset_ms, __ATOMIC_RELAXED);
        if (planned_wall_step_ms && in_window(&wall_window)) offset += planned_wall_step_ms;
        int64_t total = ((int64_t)out->tv_sec * MS_PER_S + offset) * NS_PER_MS + out->tv_nsec;
        out->tv_sec = total / ((int64_t)MS_PER_S * NS_PER_MS);
        out->tv_nsec = total % ((int64_t)MS_PER_S * NS_PER_MS);
    }
    if (id == CLOCK_MONOTONIC && next_random() % STANDSTILL_DIVISOR == 0 && should_inject(STANDSTILL)) {
        struct timespec pause = {0, (long)(next_random() % MAX_STANDSTILL_MS) * NS_PER_MS};
        nanosleep(&pause, NULL);
    }
    return result;
}

/* ---- Files */

static int is_tracked(int fd) { return fd >= 0 && fd < MAX_FDS && is_tracked_file[fd]; }

static int is_below_directory(const char *path) {
    return directory && strncmp(path, directory, strlen(directory)) == 0;
}

static int open_file(int (*original)(const char *, int, ...), const char *path, int flags, mode_t mode) {
    int tracked = is_below_directory(path) && !(flags & O_DIRECTORY);
    int writes = (flags & O_ACCMODE) != O_RDONLY;
    if (tracked && writes && should_inject(FILE_CREATE)) {
        return FAIL(ENOSPC, EIO, EDQUOT, EMFILE, ENFILE, ENOMEM);
    }
    if (tracked && !writes && should_inject(FILE_READ)) return FAIL(EIO, EMFILE, ENFILE, ENOMEM);
    int fd = original(path, flags, mode);
    if (fd >= 0 && fd < MAX_FDS) {
        is_tracked_file[fd] = (unsigned char)tracked;
        next_write_fails[fd] = 0;
    }
    return fd;
}

static mode_t mode_argument(int flags, va_list arguments) {
    return (flags & (O_CREAT | O_TMPFILE)) ? va_arg(arguments, mode_t) : 0;
}

int open(const char *path, int flags, ...) {
    ORIGINAL(open);
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = mode_argument(flags, arguments);
    va_end(arguments);
    return open_file(original, path, flags, mode);
}

int open64(const char *path, int flags, ...) {
    ORIGINAL(open64);
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = mode_argument(flags, arguments);
    va_end(arguments);
    return open_file(original, path, flags, mode);
}

int close(int fd) {
    ORIGINAL(close);
    if (fd >= 0 && fd < MAX_FDS) is_tracked_file[fd] = next_write_fails[fd] = 0;
    return original(fd);
}

ssize_t write(int fd, const void *bytes, size_t length) {
    ORIGINAL(write);
    if (fd == STDERR_FILENO && should_inject(LOG_WRITE)) return FAIL(ENOSPC, EIO, EAGAIN, EPIPE);
    if (!is_tracked(fd)) return original(fd, bytes, length);
    if (next_write_fails[fd]) {
        next_write_fails[fd] = 0;
        return FAIL(ENOSPC, EIO, EDQUOT);
    }
    if (should_inject(FILE_WRITE)) return FAIL(ENOSPC, EIO, EDQUOT);
    if (length > 1 && should_inject(FILE_SHORT_WRITE)) {
        next_write_fails[fd] = 1;
        return original(fd, bytes, 1 + next_random() % (length - 1));
    }
    if (length > 0 && should_inject(KILL_IN_FILE_WRITE)) {
        original(fd, bytes, next_random() % (length + 1));
        kill(getpid(), SIGKILL);
    }
    return original(fd, bytes, length);
}

ssize_t read(int fd, void *bytes, size_t length) {
    ORIGINAL(read);
    if (is_tracked(fd) && should_inject(FILE_READ)) return FAIL(EIO, EINTR);
    return original(fd, bytes, length);
}

int ftruncate(int fd, off_t length) {
    ORIGINAL(ftruncate);
    if (is_tracked(fd) && should_inject(FILE_TRUNCATE)) return FAIL(EIO, EINTR);
    return original(fd, length);
}

int ftruncate64(int fd, off64_t length) {
    ORIGINAL(ftruncate64);
    if (is_tracked(fd) && should_inject(FILE_TRUNCATE)) return FAIL(EIO, EINTR);
    return original(fd, length);
}

int unlink(const char *path) {
    ORIGINAL(unlink);
    if (is_below_directory(path) && should_inject(FILE_REMOVE)) return FAIL(EIO, EBUSY, ENOMEM);
    return original(path);
}

DIR *opendir(const char *path) {
    ORIGINAL(opendir);
    if (is_below_directory(path) && should_inject(DIRECTORY_LIST)) {
        FAIL(EMFILE, ENFILE, ENOMEM);
        return NULL;
    }
    return original(path);
}

/* ---- Sockets */

ssize_t send(int fd, const void *bytes, size_t length, int flags) {
    ORIGINAL(send);
    if (should_inject(SEND_INTERRUPTED)) return FAIL(EINTR);
    if (should_inject(SEND_NO_BUFFERS)) return FAIL(ENOBUFS, ENOMEM);
    if (length > 1 && should_inject(SEND_SHORT)) length = 1 + next_random() % (length - 1);
    return original(fd, bytes, length, flags);
}

ssize_t recv(int fd, void *bytes, size_t length, int flags) {
    ORIGINAL(recv);
    if (should_inject(RECEIVE_INTERRUPTED)) return FAIL(EINTR);
    if (should_inject(RECEIVE_NO_BUFFERS)) return FAIL(ENOBUFS, ENOMEM);
    if (length > 1 && should_inject(RECEIVE_SHORT)) length = 1 + next_random() % 16;
    return original(fd, bytes, length, flags);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    ORIGINAL(accept4);
    if (should_inject(ACCEPT)) return FAIL(ECONNABORTED, EPROTO, EMFILE, ENFILE, ENOBUFS, ENOMEM, EINTR);
    return original(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    ORIGINAL(socket);
    if (domain == AF_INET && should_inject(SOCKET)) return FAIL(EMFILE, ENFILE, ENOBUFS, ENOMEM);
    return original(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    ORIGINAL(connect);
    if (should_inject(CONNECT)) return FAIL(EADDRNOTAVAIL, ENETUNREACH, EAGAIN, ENOBUFS);
    int result = original(fd, address, length);
    if (result < 0 && errno == EINPROGRESS && should_inject(CONNECT_INTERRUPTED)) errno = EINTR;
    return result;
}

int getsockopt(int fd, int level, int name, void *value, socklen_t *length) {
    ORIGINAL(getsockopt);
    if (should_inject(SOCKET_STATUS)) return FAIL(ENOBUFS, ENOMEM);
    return original(fd, level, name, value, length);
}

int getpeername(int fd, struct sockaddr *address, socklen_t *length) {
    ORIGINAL(getpeername);
    if (should_inject(SOCKET_STATUS)) return FAIL(ENOBUFS, ENOMEM);
    return original(fd, address, length);
}

int setsockopt(int fd, int level, int name, const void *value, socklen_t length) {
    ORIGINAL(setsockopt);
    if (should_inject(SOCKET_OPTION)) return FAIL(ENOBUFS, ENOMEM);
    return original(fd, level, name, value, length);
}

int ioctl(int fd, unsigned long request, ...) {
    ORIGINAL(ioctl);
    va_list arguments;
    va_start(arguments, request);
    void *argument = va_arg(arguments, void *);
    va_end(arguments);
    if (should_inject(SOCKET_OPTION)) return FAIL(ENOMEM, EINTR);
    return original(fd, request, argument);
}

/* ---- Event loop */

int epoll_wait(int epoll, struct epoll_event *events, int max_events, int timeout) {
    ORIGINAL(epoll_wait);
    if (should_inject(WAIT_INTERRUPTED)) return FAIL(EINTR);
    return original(epoll, events, max_events, timeout);
}

int epoll_pwait2(int epoll, struct epoll_event *events, int max_events, const struct timespec *timeout,
                 const sigset_t *mask) {
    ORIGINAL(epoll_pwait2);
    if (should_inject(WAIT_INTERRUPTED)) return FAIL(EINTR);
    return original(epoll, events, max_events, timeout, mask);
}

int epoll_ctl(int epoll, int operation, int fd, struct epoll_event *event) {
    ORIGINAL(epoll_ctl);
    if (operation == EPOLL_CTL_ADD && should_inject(REGISTER)) return FAIL(ENOMEM, ENOSPC);
    if (operation == EPOLL_CTL_MOD && should_inject(REGISTER_AGAIN)) return FAIL(ENOMEM);
    return original(epoll, operation, fd, event);
}
