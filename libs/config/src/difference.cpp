#include "config/difference.h"

#include <algorithm>
#include <iterator>
#include <unordered_set>

namespace carawaylink {
namespace {

/// Keys of the elements that stand in both lists, in the order of the first.
template <typename List, typename Key> std::vector<std::string> commonKeys(const List& list, const List& other, Key keyOf)
{
    std::unordered_set<std::string> otherKeys;
    for (const auto& element : other)
        otherKeys.insert(keyOf(*element));
    std::vector<std::string> keys;
    for (const auto& element : list) {
        if (otherKeys.contains(keyOf(*element)))
            keys.push_back(keyOf(*element));
    }
    return keys;
}

std::string join(const std::vector<std::string>& keys)
{
    std::string text;
    for (const auto& key : keys)
        text += (text.empty() ? "" : ", ") + key;
    return text;
}

template <typename List, typename Key>
void compareOrder(const std::string& path, const List& before, const List& after, Key keyOf, std::vector<config_difference>& differences)
{
    const auto left = commonKeys(before, after, keyOf);
    const auto right = commonKeys(after, before, keyOf);
    if (left != right)
        differences.push_back({ path + " (order)", join(left), join(right) });
}

} // namespace

std::string toString(const config_difference& difference)
{
    if (!difference.before)
        return "+ " + difference.path + ": " + *difference.after;
    if (!difference.after)
        return "- " + difference.path + ": " + *difference.before;
    return "~ " + difference.path + ": " + *difference.before + " -> " + *difference.after;
}

std::vector<config_difference> differencesOf(const schema::fleet_configurationT& before, const schema::fleet_configurationT& after)
{
    const auto left = flattenConfiguration(before);
    const auto right = flattenConfiguration(after);
    std::vector<config_difference> differences;
    for (const auto& [path, value] : left) {
        const auto found = right.find(path);
        if (found == right.end())
            differences.push_back({ path, value, std::nullopt });
        else if (found->second != value)
            differences.push_back({ path, value, found->second });
    }
    for (const auto& [path, value] : right) {
        if (!left.contains(path))
            differences.push_back({ path, std::nullopt, value });
    }
    const auto nameOf = [](const auto& element) { return element.name; };
    compareOrder("tiers", before.tiers, after.tiers, nameOf, differences);
    compareOrder("teams", before.teams, after.teams, nameOf, differences);
    compareOrder("services", before.services, after.services, nameOf, differences);
    compareOrder(
        "exceptions", before.exceptions, after.exceptions, [](const auto& element) { return element.id; }, differences);
    std::ranges::stable_sort(differences, {}, &config_difference::path);
    return differences;
}

std::vector<std::string> diffConfigurations(const schema::fleet_configurationT& before, const schema::fleet_configurationT& after)
{
    std::vector<std::string> lines;
    std::ranges::transform(
        differencesOf(before, after), std::back_inserter(lines), [](const auto& difference) { return toString(difference); });
    return lines;
}

} // namespace carawaylink
