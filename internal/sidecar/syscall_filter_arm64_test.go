package sidecar

import "golang.org/x/sys/unix"

// auditArch is the architecture of the system calls that the filter knows.
const auditArch = unix.AUDIT_ARCH_AARCH64

// processCreationCalls are the system calls that only create a process. This architecture has none.
var processCreationCalls []uint32
