#include "waxwingloft/process/metrics.h"

#include <prometheus/text_serializer.h>

namespace waxwingloft {

Metrics::Metrics()
    : registry(std::make_shared<prometheus::Registry>())
{
    for (std::size_t index = 0; index < this->counters.size(); ++index) {
        this->counters[index] = &prometheus::BuildCounter().Name(std::string(NameTable<Count>::names[index])).Register(*this->registry).Add({});
    }
    for (std::size_t index = 0; index < this->gauges.size(); ++index) {
        this->gauges[index] = &prometheus::BuildGauge().Name(std::string(NameTable<Level>::names[index])).Register(*this->registry).Add({});
    }
    auto &family = prometheus::BuildCounter().Name("waxwingloft_outcomes_total").Help("Requests by their true outcome").Register(*this->registry);
    for (std::size_t index = 0; index < this->outcomes.size(); ++index) {
        this->outcomes[index] = &family.Add({{"outcome", std::string(NameTable<Outcome>::names[index])}});
    }
}

void Metrics::add(Count count, double amount)
{
    this->counters[static_cast<std::size_t>(count)]->Increment(amount);
}

void Metrics::set(Level level, double value)
{
    this->gauges[static_cast<std::size_t>(level)]->Set(value);
}

void Metrics::addOutcome(Outcome outcome)
{
    this->outcomes[static_cast<std::size_t>(outcome)]->Increment();
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(this->registry->Collect());
}

} // namespace waxwingloft
