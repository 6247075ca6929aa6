// Weighted fair queueing by virtual time, in several tiers.
#include "decisions/fair_share.h"

#include <algorithm>

namespace parsleyloft {

namespace {

// Idle classes are not looked for among fewer than this.
constexpr std::size_t minCleanAt = 64;
// Beyond this many, idle classes are forgotten even if they have used more than their share.
constexpr std::size_t maxIdleClasses = 128;

// Classes that have used no more than their share need not be remembered.
auto removeIdleClasses(fair_node &node) -> void
{
    if (node.children.size() < node.cleanAt)
        return;
    std::erase_if(node.children, [&](const auto &entry) {
        return entry.second.backlog <= 0 && entry.second.finish <= node.virtualTime;
    });
    // Classes that are served once each keep the virtual time from advancing.
    if (node.children.size() > maxIdleClasses)
        std::erase_if(node.children, [](const auto &entry) { return entry.second.backlog <= 0; });
    // The cost of looking stays a constant for each item added.
    node.cleanAt = std::max(minCleanAt, 2 * node.children.size());
}

// The start of the class's next service in the virtual time of its tier.
auto serviceStart(const fair_node &tier, const fair_node &child) -> double
{
    return std::max(tier.virtualTime, child.finish);
}

// Sums of removed amounts may leave a rest, so a node without items is set to 0.
auto reduceBacklog(fair_node &node, double work) -> void
{
    const auto waits = [](const auto &entry) { return entry.second.backlog > 0; };
    const auto empty =
            node.items.empty() && std::none_of(node.children.begin(), node.children.end(), waits);
    node.backlog = empty ? 0 : std::max(0.0, node.backlog - work);
    if (empty)
        node.virtualTime = std::max(node.virtualTime, node.latestFinish);
}

auto takeOwnItem(fair_node &node, double &work) -> std::uint64_t
{
    if (node.items.empty())
        return 0;
    const auto first = node.items.begin();
    const auto number = first->first.number;
    work = first->second;
    node.items.erase(first);
    return number;
}

// The class with the earliest start among those that wait and may be served.
auto firstClass(fair_node &node, const std::function<bool(const fair_class &)> *mayServe)
        -> fair_node *
{
    fair_node *best = nullptr;
    for (auto &[name, child] : node.children) {
        if (child.backlog <= 0 || (mayServe != nullptr && !(*mayServe)(name)))
            continue;
        // Of classes that start together the one that has waited longest is first.
        const auto rank = [&](const fair_node &each) {
            return std::pair(serviceStart(node, each), each.backlogSince);
        };
        if (best == nullptr || rank(child) < rank(*best))
            best = &child;
    }
    return best;
}

auto takeFrom(fair_node &node, const std::function<bool(const fair_class &)> *mayServe,
              double &work) -> std::uint64_t
{
    auto number = takeOwnItem(node, work);
    if (number == 0) {
        auto *child = firstClass(node, mayServe);
        if (child == nullptr)
            return 0;
        number = takeFrom(*child, nullptr, work);
        const auto start = serviceStart(node, *child);
        node.virtualTime = start;
        child->finish = start + work / child->weight;
        node.latestFinish = std::max(node.latestFinish, child->finish);
    }
    reduceBacklog(node, work);
    return number;
}

auto removeFrom(fair_node &node, const fair_path &path, std::size_t tier, const fair_item &item,
                double &work) -> bool
{
    if (tier == path.size()) {
        const auto found = node.items.find(item);
        if (found == node.items.end())
            return false;
        work = found->second;
        node.items.erase(found);
    } else {
        const auto child = node.children.find(path[tier]);
        if (child == node.children.end() || !removeFrom(child->second, path, tier + 1, item, work))
            return false;
    }
    reduceBacklog(node, work);
    return true;
}

// The work of the class's own items that is served before one with this due time.
auto ownWorkBefore(const fair_node &leaf, instant due) -> double
{
    double before = 0;
    for (const auto &[item, work] : leaf.items) {
        if (item.due > due)
            break;
        before += work;
    }
    return before;
}

} // namespace

auto addItem(fair_node &root, const fair_path &path, const fair_item &item, double work) -> void
{
    auto *node = &root;
    node->backlog += work;
    for (const auto &name : path) {
        removeIdleClasses(*node);
        node = &node->children[name];
        if (node->backlog <= 0)
            node->backlogSince = item.due;
        node->backlog += work;
    }
    node->items[item] = work;
}

auto removeItem(fair_node &root, const fair_path &path, const fair_item &item) -> bool
{
    double work = 0;
    return removeFrom(root, path, 0, item, work);
}

auto takeNextItem(fair_node &root, const std::function<bool(const fair_class &)> &mayServe)
        -> std::uint64_t
{
    double work = 0;
    return takeFrom(root, &mayServe, work);
}

auto workBefore(const fair_node &root, const fair_path &path, instant due, double work,
                const std::set<fair_class> &pressing) -> double
{
    // The nodes on the way down that exist.
    std::vector<const fair_node *> nodes{&root};
    for (const auto &name : path) {
        const auto child = nodes.back()->children.find(name);
        if (child == nodes.back()->children.end())
            break;
        nodes.push_back(&child->second);
    }
    const auto isNew = nodes.size() <= path.size();
    auto before = isNew ? 0.0 : ownWorkBefore(*nodes.back(), due);
    // From the lowest tier upwards: until the class has been served this much, each other class of
    // its tier is served in proportion to its weight, as far as it has work.
    for (auto tier = std::min(nodes.size(), path.size()); tier-- > 0;) {
        const auto &node = *nodes[tier];
        const auto own = node.children.find(path[tier]);
        const auto ownWeight = own == node.children.end() ? 1.0 : own->second.weight;
        const auto ownStart =
                own == node.children.end() ? node.virtualTime : serviceStart(node, own->second);
        const auto startsAt = ownStart + before / ownWeight;
        auto others = 0.0;
        for (const auto &[name, child] : node.children) {
            const auto presses = tier == 0 && pressing.contains(name);
            const auto lead = startsAt - serviceStart(node, child);
            if (name == path[tier] || lead < 0 || (child.backlog <= 0 && !presses))
                continue;
            // Of two classes that start together the one that waits already is first.
            const auto share = lead * child.weight + work;
            others += presses ? share : std::min(child.backlog, share);
        }
        before += others;
    }
    return before;
}

auto setWeight(fair_node &root, const fair_class &upper, double weight) -> void
{
    root.children[upper].weight = weight;
}

} // namespace parsleyloft
