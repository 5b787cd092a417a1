//go:build cgo

#include <signal.h>
#include <string.h>
#include <unistd.h>

// Only glibc passes the arguments of the program to constructors.
#ifdef __GLIBC__

static int isDaemon(int argc, char **argv) {
	return argc > 1 && (strcmp(argv[1], "daemon") == 0 || strcmp(argv[1], "sidecar") == 0);
}

static void stop(int sig) {
	(void)sig;
	_exit(0);
}

// Priorities up to 100 are reserved for the implementation of C.
__attribute__((constructor(101))) static void handleSignals(int argc, char **argv) {
	struct sigaction action;
	if (!isDaemon(argc, argv)) {
		return;
	}
	memset(&action, 0, sizeof action);
	action.sa_handler = SIG_IGN;
	sigaction(SIGHUP, &action, NULL);
	action.sa_handler = stop;
	action.sa_flags = SA_ONSTACK;
	sigaction(SIGTERM, &action, NULL);
	sigaction(SIGINT, &action, NULL);
}

#endif
