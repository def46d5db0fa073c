#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace carawaylink {

enum class fault_kind {
    flag,
    number,
};

/// A fault that can be changed while a stand-in runs.
struct fault_definition {
    std::string_view name;
    fault_kind kind = fault_kind::flag;
    double initial = 0;
    double minimum = 0;
    double maximum = 1;
};

/// The current values of the switches in a table that is indexed by an enum.
class fault_set {
public:
    explicit fault_set(std::span<const fault_definition> definitions);

    template <typename Fault> double number(Fault fault) const { return m_values.at(static_cast<std::size_t>(fault)); }
    template <typename Fault> bool on(Fault fault) const { return number(fault) != 0; }
    template <typename Fault> void set(Fault fault, double value) { m_values.at(static_cast<std::size_t>(fault)) = value; }

    /// Sets the switches named in a JSON object. Throws error(invalid_argument) and changes nothing where one is wrong.
    void apply(std::string_view json);
    /// All switches as a JSON object.
    std::string toJson() const;

private:
    std::span<const fault_definition> m_definitions;
    std::vector<double> m_values;
};

} // namespace carawaylink
