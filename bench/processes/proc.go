package processes

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// clockTicksPerSecond is the unit of CPU times in /proc (USER_HZ), which is fixed
// in the Linux ABI.
const clockTicksPerSecond = 100

// processCPUTime returns the user and system CPU time of a process.
func processCPUTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("read CPU time: %w", err)
	}
	// The name in parentheses is field 2 and may contain spaces. User and system
	// time are fields 14 and 15.
	const user, system = 14 - 3, 15 - 3
	fields := bytes.Fields(data[bytes.LastIndexByte(data, ')')+1:])
	if len(fields) <= system {
		return 0, fmt.Errorf("process %d: stat has only %d fields", pid, len(fields))
	}
	total := 0
	for _, f := range [][]byte{fields[user], fields[system]} {
		n, err := strconv.Atoi(string(f))
		if err != nil {
			return 0, fmt.Errorf("process %d: decode CPU time: %w", pid, err)
		}
		total += n
	}
	return time.Duration(total) * time.Second / clockTicksPerSecond, nil
}

// residentMB returns the resident memory of a process in MiB.
func residentMB(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, fmt.Errorf("read memory: %w", err)
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, fmt.Errorf("process %d: statm has only %d fields", pid, len(fields))
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0, fmt.Errorf("process %d: decode memory: %w", pid, err)
	}
	return float64(pages) * float64(os.Getpagesize()) / (1 << 20), nil
}

// ownsSocket reports whether a process has an open socket with the given local
// address. All hosts run on one machine, so the IP address does not identify them.
func ownsSocket(pid int, local net.Addr) bool {
	inode := socketInode(local)
	if inode == "" {
		return false
	}
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return false
	}
	for _, f := range files {
		// Ignore descriptors that have been closed since the listing.
		if to, err := os.Readlink(f); err == nil && to == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// socketInode returns the inode of the TCP socket with the given local IPv4 address,
// or an empty string if there is none.
func socketInode(local net.Addr) string {
	tcp, ok := local.(*net.TCPAddr)
	if !ok || tcp.IP.To4() == nil {
		return ""
	}
	ip := tcp.IP.To4()
	want := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	const localField, inodeField = 1, 9
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); len(f) > inodeField && f[localField] == want {
			return f[inodeField]
		}
	}
	return ""
}
