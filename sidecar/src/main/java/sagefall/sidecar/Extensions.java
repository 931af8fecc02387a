package sagefall.sidecar;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import sagefall.LoadBalancer.RequestClass;
import sagefall.Section;
import sagefall.duties.Duties;
import sagefall.recovery.Recovery;
import sagefall.streaming.Streaming;

/**
 * What the file named by {@code LB_EXTENSIONS} switches on, a section for each subsystem. It is the
 * operators' own and stands beside the platform's configuration, so that none of its names can meet
 * one of the platform's.
 */
record Extensions(Streaming streaming, Recovery recovery, Duties duties) {

    static final Extensions NONE = new Extensions(Streaming.OFF, Recovery.OFF, Duties.OFF);

    /** Reads the file, if one is named; the exception's message is one plain line. */
    static Extensions read(Map<String, String> environment, List<RequestClass> classes)
            throws IOException {
        String file = environment.get("LB_EXTENSIONS");
        if (file == null || file.isEmpty()) {
            return NONE;
        }
        // A name that stands twice would silently lose the first.
        JsonFactory strict =
                JsonFactory.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();
        return JsonFile.read(
                file,
                strict,
                sections -> {
                    Section all = new Section("extensions", sections);
                    Streaming streaming =
                            sections.containsKey("streaming")
                                    ? Streaming.read(all.section("streaming"), classes)
                                    : Streaming.OFF;
                    Recovery recovery =
                            sections.containsKey("recovery")
                                    ? Recovery.read(all.section("recovery"))
                                    : Recovery.OFF;
                    Duties duties =
                            sections.containsKey("duties")
                                    ? Duties.read(all.section("duties"))
                                    : Duties.OFF;
                    all.end();
                    return new Extensions(streaming, recovery, duties);
                });
    }
}
