package sidecar

import "golang.org/x/sys/unix"

// auditArch is the architecture of the system calls that the filter knows.
const auditArch = unix.AUDIT_ARCH_X86_64

// processCreationCalls are the system calls that only create a process. Go uses none of them: it
// creates threads and processes with clone.
var processCreationCalls = []uint32{unix.SYS_FORK, unix.SYS_VFORK}
