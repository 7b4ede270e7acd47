package base

import (
	"fmt"
	"net/netip"
	"strings"
)

// SettingError is a wrong setting: its flag, what is wrong with the value, and the remedy.
type SettingError struct {
	flag   string
	detail string
	remedy string
}

// Error returns the flag, what is wrong and the remedy.
func (ser *SettingError) Error() string {
	return fmt.Sprintf("--%s %s; %s", ser.flag, ser.detail, ser.remedy)
}

// NewSettingError returns a SettingError.
func NewSettingError(flag, detail, remedy string) error {
	return &SettingError{flag: flag, detail: detail, remedy: remedy}
}

// CheckName returns an error for a name that is empty or holds a slash, space, tab or line break, which would break paths
// and lists of names.
func CheckName(flag, value string) error {
	if value == "" || strings.ContainsAny(value, "/ \t\n") {
		return NewSettingError(flag, fmt.Sprintf("is %q", value), "give a non-empty name without slashes, spaces, tabs and line breaks")
	}
	return nil
}

// CheckAddress returns an error for an address that is not a numeric IP address and port.
func CheckAddress(flag, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return NewSettingError(flag, fmt.Sprintf("is %q", value), "give a numeric IP address and port such as 127.0.0.1:7000")
	}
	return nil
}

// IsLoopback reports whether an IP address and port is on the loopback interface.
func IsLoopback(addr string) bool {
	addrPort, err := netip.ParseAddrPort(addr)
	return err == nil && addrPort.Addr().Unmap().IsLoopback()
}
