package sagefall.emulator;

/** Something that went wrong, in seconds of the day. */
public record InjectedFault(String what, double from, double to) {}
