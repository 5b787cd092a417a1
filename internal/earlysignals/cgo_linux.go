package earlysignals

import "C" // links handle_linux.c
