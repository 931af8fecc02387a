package sagefall.simulator;

/** Defines the names of all operations and fields in the simulator's protocol. */
final class WireNames {

    // Batches and groups, in both directions
    static final String BATCH_TIME = "at_time_us";
    static final String GROUPS = "groups";
    static final String INSTANCE = "who";
    static final String MESSAGES = "msgs";
    static final String ACTIONS = "output";
    static final String OPERATION = "op";

    // Operations that the simulator sends
    static final String POOL = "Pool";
    static final String START = "Start";
    static final String POWER_OFF = "PowerOff";
    static final String ENDPOINTS = "Endpoints";
    static final String CALL = "Call";
    static final String ESTABLISHED = "Established";
    static final String RESPONSE = "Response";
    static final String CLIENT_LEFT = "ClientLeft";
    static final String DEADLINE_HIT = "DeadlineHit";
    static final String CHECK_RESULT = "CheckResult";
    static final String PEER = "Peer";

    // Operations that an instance sends
    static final String PLACE = "Place";
    static final String PUSH_BACK = "PushBack";
    static final String REPORT_FAILURE = "ReportFailure";
    static final String DROP_ATTEMPT = "DropAttempt";
    static final String DEFER = "Defer";
    static final String LET_GO = "LetGo";
    static final String SUBSCRIBE = "Subscribe";
    static final String PRINT = "Print";

    // Fields of requests and attempts
    static final String REQUEST_ID = "ticket";
    static final String REQUEST_CLASS = "type";
    static final String TENANT = "client_group";
    static final String REPEAT = "repeat";
    static final String KEY = "target_key";
    static final String DEADLINE = "drop_dead_us";
    static final String MUTATES = "mutates";
    static final String ATTEMPT = "go";
    static final String ENDPOINT = "server";
    static final String RESULT = "verdict";
    static final String ELAPSED = "cost_time_us";
    static final String FINAL = "terminal";
    static final String LOAD_REPORT = "server_stats";
    static final String ATTEMPT_TIMEOUT = "give_up_after_us";
    static final String RETRY_AFTER = "retry_in_us";

    // Fields of endpoint lists
    static final String TABLE = "table";
    static final String ROWS = "rows";
    static final String LIST_KIND = "how";
    static final String ZONE = "failure_domain";
    static final String MODEL = "sku";
    static final String CELL = "group";
    static final String PHASE = "status";
    static final String START_TIME = "start_time_us";
    static final String WEIGHT = "share";

    // Other fields
    static final String SEED = "salt";
    static final String SETTINGS = "facts";
    static final String TIMER_TIME = "time_us";
    static final String TIMER_TOKEN = "handle";
    static final String WANTED = "want";
    static final String LOG_LINE = "what";

    private WireNames() {}
}
