package sagefall.faultinjection.report;

/**
 * The state of a member over a time.
 *
 * @param kind the state
 * @param from second of the run
 * @param to second of the run
 */
record MemberState(Kind kind, double from, double to) {

    /** The states that the page shows; each has its colour. */
    enum Kind {
        UP("up", "up", "#cfe3f3"),
        STARTING("start", "starting", "#bbb"),
        COLD("cold", "cold", "#56b4e9"),
        DRAINING("drain", "draining", "#cc79a7"),
        STOPPED("stop", "stopped", "#e69f00"),
        DOWN("down", "down", "#444");

        private final String style;
        private final String label;
        private final String colour;

        Kind(String style, String label, String colour) {
            this.style = style;
            this.label = label;
            this.colour = colour;
        }

        /** The CSS class. */
        String style() {
            return style;
        }

        String label() {
            return label;
        }

        String colour() {
            return colour;
        }
    }
}
