package sagefall.emulator;

/** Final answers. */
public enum ClientAnswer {
    SERVED,
    REJECTED,
    FAILED
}
