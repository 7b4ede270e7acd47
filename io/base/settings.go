package base

import (
	"fmt"
	"net/netip"
	"strings"
)

// SettingError names a setting, what is wrong with it and the remedy.
type SettingError struct {
	flag   string
	detail string
	remedy string
}

// Error returns the setting, the fault and the remedy.
func (ser *SettingError) Error() string {
	return fmt.Sprintf("--%s %s; %s", ser.flag, ser.detail, ser.remedy)
}

// NewSettingError returns a SettingError.
func NewSettingError(flag, detail, remedy string) error {
	return &SettingError{flag: flag, detail: detail, remedy: remedy}
}

// CheckName refuses a name that cannot stand in a path or a list.
func CheckName(flag, value string) error {
	if value == "" || strings.ContainsAny(value, "/ \t\n") {
		return NewSettingError(flag, fmt.Sprintf("is %q", value), "give a non-empty name without slashes and spaces")
	}
	return nil
}

// CheckAddress refuses an address that is not a numeric IP address and port.
func CheckAddress(flag, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return NewSettingError(flag, fmt.Sprintf("is %q", value), "give a numeric IP address and port such as 127.0.0.1:7000")
	}
	return nil
}

// Loopback says whether an address is on this host only.
func Loopback(addr string) bool {
	addrPort, err := netip.ParseAddrPort(addr)
	return err == nil && addrPort.Addr().Unmap().IsLoopback()
}
