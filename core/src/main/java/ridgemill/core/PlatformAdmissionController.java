package ridgemill.core;

import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import ridgemill.policy.Router.ServiceClass;
import ridgemill.policy.Router.Settings;

/** Lets every request on that names a class of the platform's, under that class. */
public final class PlatformAdmissionController implements AdmissionController {

    private final Map<String, ServiceClass> classes;

    public PlatformAdmissionController(Settings settings) {
        classes = settings.classes().stream().collect(Collectors.toMap(ServiceClass::name, Function.identity(), (a, b) -> b));
    }

    @Override
    public Decision admit(double nowMs, AdmissionRequest arrival) {
        ServiceClass service = arrival.requestedClass() == null ? null : classes.get(arrival.requestedClass());
        return service == null ? new Invalid(InvalidReason.UNKNOWN_CLASS) : new Admitted(service, arrival.budgetMs());
    }

    @Override
    public void requestEnded(double nowMs, String service) { }
}
